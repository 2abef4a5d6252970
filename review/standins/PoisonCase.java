import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of prompts that crashes each worker that begins to write on it, in quiet hours. */
final class PoisonCase extends Case {
    private static final String DEADLY = "dead01";
    private static final int WORKERS = 16;
    private static final long BACK_MS = 3_000;
    private static final long CONTACT_MS = 3_000;

    private final List<Double> crashes = new ArrayList<>();
    private final List<Double> arrivals = new ArrayList<>();

    private final class ModelWorker extends Worker {
        ModelWorker(Store table, Log record, String zone, String ip) throws IOException {
            super(table, record, "model", true, 11, zone, ip);
        }

        @Override
        void run(java.net.Socket socket, Request request) throws IOException {
            if (request.message().header("x-prompt-prefix").contains(DEADLY)) {
                synchronized (arrivals) {
                    arrivals.add(log.seconds());
                }
                log.write("worker %s: gets %s, which has the deadly part", id, request.id());
            }
            super.run(socket, request);
        }

        @Override
        void beforeFirstEvent(Request request) throws IOException {
            if (trouble && isUp() && request.message().header("x-prompt-prefix").contains(DEADLY)) {
                synchronized (crashes) {
                    crashes.add(log.seconds());
                }
                crash(BACK_MS);
                throw new IOException("crashed");
            }
        }
    }

    PoisonCase(String... arguments) throws IOException {
        super(arguments);
    }

    @Override
    int play() throws Exception {
        double soundPerSecond = Double.parseDouble(System.getProperty("sound", "0.1"));
        double deadlyPerSecond = Double.parseDouble(System.getProperty("deadly", "0.2"));
        int seconds = Integer.getInteger("seconds", 75);
        String[] zones = {"za", "zb", "zc"};
        for (int i = 0; i < WORKERS; i++) {
            add(new ModelWorker(store, log, zones[i % 3], net + (100 + i))).start();
        }
        store.put("op", "config", CONFIGURATION);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            hosts.add(host("host-" + i, zones[i], 10 + i));
        }
        for (Host host : hosts) {
            host.start();
        }
        for (Host host : hosts) {
            if (!host.awaitReady(30)) {
                return NOT_RUN;
            }
        }
        Thread.sleep(4_000);
        AtomicInteger number = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        double startedAt = log.seconds();
        Thread sound = Thread.ofVirtual().start(() -> {
            while (log.seconds() < startedAt + seconds) {
                Worker.pause((long) (1_000 / soundPerSecond));
                int n = number.incrementAndGet();
                String parts = "aa0" + n % 3 + ":40,f" + Integer.toHexString(n) + ":900";
                Thread.ofVirtual().start(() -> {
                    Client.Answer answer = send(hosts.get(n % 3), "sound-" + n, parts);
                    if (answer.isServed()) {
                        served.incrementAndGet();
                    }
                });
            }
        });
        Thread.sleep(2_000);
        int deadly = 0;
        while (log.seconds() < startedAt + seconds) {
            int n = ++deadly;
            String parts = "aa0" + n % 3 + ":40," + DEADLY + ":20,e" + Integer.toHexString(n) + ":900";
            Thread.ofVirtual().start(() -> send(hosts.get(n % 3), "deadly-" + n, parts));
            Worker.pause((long) (1_000 / deadlyPerSecond));
        }
        sound.join();
        Thread.sleep(3_000);
        for (Host host : hosts) {
            host.copyLines("what=quarantine", "what=target_crashed", "PROMPT_QUARANTINED");
        }
        int late = 0;
        if (crashes.size() >= 5) {
            double bound = crashes.get(4) + CONTACT_MS / 1_000.0;
            late = (int) arrivals.stream().filter(at -> at > bound).count();
            log.write("script: the fifth crash was at %.3f s, the bound is %.3f s", crashes.get(4), bound);
        }
        log.write("script: %d crashes, %d requests with the deadly part sent, %d reached workers, %d of them later than the bound"
                        + " (3 are allowed); %d of %d sound requests served",
                crashes.size(), deadly, arrivals.size(), late, served.get(), number.get());
        return late > 3 ? BROKEN : HELD;
    }

    private Client.Answer send(Host host, String id, String parts) {
        Map<String, String> headers = Map.of(
                "Authorization", "Bearer k1", "X-Model", "m", "X-Token-Usage", "960,680", "X-Prompt-Prefix", parts);
        return Client.send(log, host, "POST", "/draft/2f", id, 10_000, headers, new byte[1200]);
    }

    public static void main(String... arguments) throws IOException {
        new PoisonCase(arguments).run();
    }
}
