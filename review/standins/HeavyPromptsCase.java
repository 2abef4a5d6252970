import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once, with the longest prompts that the limits allow, to the one host of their zone. */
final class HeavyPromptsCase extends Case {
    private static final int WORKERS = 16;
    private static final int USERS = Integer.getInteger("users", 30);
    private static final int BODY = Integer.getInteger("body", 4 << 20);
    private static final long TOKENS = Long.getLong("tokens", 182_000);
    private static final double BURST_FROM_S = 4;
    private static final double BURST_FOR_S = Double.parseDouble(System.getProperty("for", "85"));
    private static final double LENGTH_S = 98;
    private static final int DRAFT_USERS = 20;
    private static final int ALLOWED = 3;
    private static final int HOSTS = Integer.getInteger("hosts", 1);

    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Client.Answer> prompts = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Client.Answer> drafts = new ConcurrentLinkedQueue<>();
    private final AtomicInteger numbers = new AtomicInteger();

    private final class ModelWorker extends Worker {
        ModelWorker(Store table, Log record, String zone, String ip) throws IOException {
            super(table, record, "model", true, 11, zone, ip);
        }

        @Override
        void run(Socket socket, Request request) throws IOException {
            passedOn.add(request.id());
            if (!request.message().first().contains("/ledger/")) {
                stream(socket, request, 300, 20, 40);
                return;
            }
            log.write("worker %s: runs %s", id, request.id());
            String helpers = request.message().headers().getOrDefault("x-helpers", "");
            int parts = 1 + (helpers.isEmpty() ? 0 : helpers.split(",").length);
            double alone = TOKENS / 154.0 + 0.162 * TOKENS * TOKENS / 2 / 1e6;
            stream(socket, request, (long) (alone / parts), 19, 100);
        }
    }

    HeavyPromptsCase(String... arguments) throws IOException {
        super(arguments);
    }

    @Override
    int play() throws Exception {
        String[] zones = {"za", "zb", "zc"};
        for (int i = 0; i < WORKERS; i++) {
            add(new ModelWorker(store, log, zones[i % 3], net + (100 + i))).start();
        }
        store.put("op", "config", CONFIGURATION);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(host("host-" + i, zones[i + 1], 10 + i));
            hosts.get(i).start();
        }
        for (Host host : hosts) {
            if (!host.awaitReady(30)) {
                return NOT_RUN;
            }
        }
        Thread.sleep(3_000);
        double startedAt = log.seconds();
        List<Thread> clients = new ArrayList<>();
        int users = trouble ? USERS : 1;
        for (Host host : hosts) {
            for (int i = 0; i < DRAFT_USERS; i++) {
                clients.add(Thread.ofVirtual().start(() -> drafts(host, startedAt)));
            }
            for (int i = 0; i < users; i++) {
                clients.add(Thread.ofVirtual().start(() -> prompts(host, startedAt)));
            }
        }
        Map<Host, Integer> ends = new java.util.HashMap<>();
        while (log.seconds() < startedAt + LENGTH_S) {
            for (Host host : hosts) {
                if (!host.isAlive()) {
                    ends.merge(host, 1, Integer::sum);
                    log.write("%s: the process has ended by itself, with exit code %d", host.name, host.exitCode());
                    // The platform starts it again after a short delay.
                    Thread.sleep(500);
                    host.start();
                }
            }
            Thread.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Host host : hosts) {
            host.copyLines("OutOfMemory", "what=unusable");
            log.write("%s: ready %s, peak memory of the last process %d MB", host.name, host.isReady(), host.peakMegabytes());
        }
        int cut = 0;
        for (ConcurrentLinkedQueue<Client.Answer> kind : List.of(prompts, drafts)) {
            Map<String, Integer> counts = new TreeMap<>();
            for (Client.Answer answer : kind) {
                counts.merge(answer.status() + (answer.complete() ? " whole" : " not whole"), 1, Integer::sum);
                if (answer.status() == 0 && answer.millis() < (kind == prompts ? 15_000 : 10_000) && passedOn.contains(answer.id())) {
                    cut++;
                }
            }
            log.write("script: %s: %s", kind == prompts ? "long prompts" : "drafts", counts);
        }
        long often = ends.values().stream().filter(times -> times >= 3).count();
        log.write("script: processes ended by themselves: %s; %d machines did so three times or more; %d requests from kept"
                + " connections were passed on to sound workers and got no answer (%d are allowed)",
                hosts.stream().map(host -> host.name + " " + ends.getOrDefault(host, 0)).toList(), often, cut, ALLOWED);
        return cut > ALLOWED || often >= 2 ? BROKEN : HELD;
    }

    /** One user with long prompts: on a kept connection, one after the other. */
    private void prompts(Host host, double startedAt) {
        while (log.seconds() < startedAt + BURST_FROM_S + BURST_FOR_S) {
            try (Socket socket = connect(host)) {
                while (log.seconds() < startedAt + BURST_FROM_S) {
                    Worker.pause(20);
                }
                while (log.seconds() < startedAt + BURST_FROM_S + BURST_FOR_S) {
                    Client.Answer answer = prompt(host, socket, "/ledger/2f", "ledger-" + numbers.incrementAndGet(), 15_000, TOKENS, BODY);
                    prompts.add(answer);
                    Worker.pause(answer.status() == 200 ? 10 : 600);
                    if (!answer.keptOpen()) {
                        break;
                    }
                }
            } catch (IOException e) {
                Worker.pause(500);
            }
        }
    }

    /** One user with short prompts. */
    private void drafts(Host host, double startedAt) {
        while (log.seconds() < startedAt + LENGTH_S - 5) {
            try (Socket socket = connect(host)) {
                Client.Answer answer = new Client.Answer("", 200, true, 0, 0, 0, true, true);
                while (answer.keptOpen() && log.seconds() < startedAt + LENGTH_S - 5) {
                    answer = prompt(host, socket, "/draft/2f", "draft-" + numbers.incrementAndGet(), 10_000, 4_960, 1_200);
                    drafts.add(answer);
                    Worker.pause(50);
                }
            } catch (IOException e) {
                Worker.pause(500);
            }
        }
    }

    /** Opens a connection and uses it once, so that it is a kept one from then on. */
    private Socket connect(Host host) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(host.ip, host.frontPort), 1_000);
        Client.Answer first = prompt(host, socket, "/draft/2f", "first-" + numbers.incrementAndGet(), 10_000, 4_960, 1_200);
        if (!first.keptOpen()) {
            socket.close();
            throw new IOException("no connection");
        }
        return socket;
    }

    private Client.Answer prompt(Host host, Socket socket, String path, String id, long waitMs, long tokens, int bytes) {
        Map<String, String> headers = Map.of(
                "Authorization", "Bearer k1", "X-Model", "m", "X-Token-Usage", tokens + ",650", "X-Prompt-Prefix",
                "bb" + tokens + ":40,f" + id.replaceAll("[^0-9]", "") + ":" + (tokens - 40));
        return Client.send(log, host, socket, "POST", path, id, waitMs, headers, new byte[bytes]);
    }

    public static void main(String... arguments) throws IOException {
        new HeavyPromptsCase(arguments).run();
    }
}
