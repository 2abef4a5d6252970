import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker reports that it is draining while a host reads the list of workers, which has two pages. */
final class PagedReadCase extends Case {
    private static final int MODEL_WORKERS = 600;
    private static final double DRAIN_S = 2;
    private static final double CONTACT_S = 3;

    private volatile double acknowledgedAt = -1;
    private final AtomicInteger late = new AtomicInteger();

    private final class DeskWorker extends Worker {
        DeskWorker(Store table, Log record, String zone, String ip) throws IOException {
            super(table, record, "desk", false, 6, zone, ip);
        }

        @Override
        void run(Socket socket, Request request) throws IOException {
            double at = log.seconds();
            if (draining == this && at > acknowledgedAt + DRAIN_S && at > readyAt + CONTACT_S) {
                late.incrementAndGet();
                log.write("worker %s: gets %s, %.3f s after its report was acknowledged", id, request.id(), at - acknowledgedAt);
            }
            super.run(socket, request);
        }
    }

    private volatile DeskWorker draining;
    private volatile double readyAt = Double.MAX_VALUE;

    PagedReadCase(String... arguments) throws IOException {
        super(arguments);
    }

    @Override
    int play() throws Exception {
        List<DeskWorker> desks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            desks.add(add(new DeskWorker(store, log, "za", net + (10 + i))));
            desks.get(i).start();
        }
        for (int i = 0; i < MODEL_WORKERS; i++) {
            add(new Worker(store, log, "model", true, 11, "za", net + (20 + i % 200))).start();
        }
        store.put("op", "config", CONFIGURATION);
        Host host = host("host-0", "za", 5);
        store.onPage(() -> {
            if (trouble && draining == null) {
                draining = desks.get(0);
                desks.get(0).register("draining");
                acknowledgedAt = log.seconds();
                log.write("store: acknowledges that worker %s is draining, after the first page was sent", desks.get(0).id);
            }
        });
        host.start();
        if (!host.awaitReady(30)) {
            return NOT_RUN;
        }
        if (trouble && draining == null) {
            log.write("script: the list was not read in pages");
            return NOT_RUN;
        }
        readyAt = log.seconds();
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int n = 1; n <= 100; n++) {
            int number = n;
            clients.add(Thread.ofVirtual().start(() -> {
                Map<String, String> headers = Map.of("Authorization", "Bearer k1");
                if (Client.send(log, host, "GET", "/stock/2f", "stock-" + number, 1_500, headers, new byte[0]).isServed()) {
                    served.incrementAndGet();
                }
            }));
            Worker.pause(n % 5 == 0 ? 500 : 5);
        }
        for (Thread client : clients) {
            client.join();
        }
        log.write("script: %d of 100 served; %d requests reached a worker later than %.0f s after the store acknowledged that it drains",
                served.get(), late.get(), DRAIN_S);
        return late.get() > 0 ? BROKEN : HELD;
    }

    public static void main(String... arguments) throws IOException {
        new PagedReadCase(arguments).run();
    }
}
