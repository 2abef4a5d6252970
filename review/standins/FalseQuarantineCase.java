import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Workers crash a few times, for a reason that has nothing to do with prompts; sound prompts are refused from then on. */
final class FalseQuarantineCase extends Case {
    private static final int WORKERS = Integer.getInteger("workers", 14);
    private static final int CRASHED_AT_ONCE = 2;
    private static final int CRASHES = Integer.getInteger("crashes", 3);
    private static final long DOWN_MS = 4_500;
    private static final double DRAFTS_PER_S = Double.parseDouble(System.getProperty("drafts", "5"));
    private static final long STALL_MS = 1_500;
    private static final long TOKENS = Long.getLong("tokens", 350_000);

    private final List<ModelWorker> workers = new ArrayList<>();
    private final ConcurrentLinkedQueue<Client.Answer> answers = new ConcurrentLinkedQueue<>();

    private final class ModelWorker extends Worker {
        private final Set<String> reading = ConcurrentHashMap.newKeySet();

        ModelWorker(Store table, Log record, String zone, String ip) throws IOException {
            super(table, record, "model", true, 11, zone, ip);
        }

        @Override
        void run(Socket socket, Request request) throws IOException {
            if (!request.message().first().contains("/ledger/")) {
                super.run(socket, request);
                return;
            }
            String helpers = request.message().headers().getOrDefault("x-helpers", "");
            String[] others = helpers.isEmpty() ? new String[0] : helpers.split(",");
            log.write("worker %s: reads %s with %d helpers", id, request.id(), others.length);
            double alone = TOKENS / 154.0 + 0.162 * TOKENS * TOKENS / 2 / 1e6;
            long end = System.currentTimeMillis() + (long) (alone / (1 + others.length));
            reading.add(request.id());
            try {
                while (System.currentTimeMillis() < end) {
                    pause(20);
                    if (!isUp() || socket.isClosed()) {
                        throw new IOException("the worker crashed or the caller left");
                    }
                    for (String other : others) {
                        if (!isHelperUp(other)) {
                            // Work that depends on a worker that is dead stalls, and is cut off then.
                            pause(STALL_MS);
                            log.write("worker %s: cuts %s off, as a helper is dead", id, request.id());
                            socket.setSoLinger(true, 0);
                            throw new IOException("a helper is dead");
                        }
                    }
                }
            } finally {
                reading.remove(request.id());
            }
            log.write("worker %s: begins to write on %s", id, request.id());
            stream(socket, request, 0, 19, 55);
        }
    }

    FalseQuarantineCase(String... arguments) throws IOException {
        super(arguments);
    }

    private boolean isHelperUp(String helper) {
        String address = helper.contains("/") ? helper.substring(0, helper.indexOf('/')) : helper;
        return workers.stream().anyMatch(worker -> worker.address().equals(address) && worker.isUp());
    }

    @Override
    int play() throws Exception {
        int seconds = Integer.getInteger("seconds", 50);
        double crashFrom = Double.parseDouble(System.getProperty("from", "0"));
        String[] zones = {"za", "zb", "zc"};
        for (int i = 0; i < WORKERS; i++) {
            workers.add(add(new ModelWorker(store, log, zones[i % 3], net + (100 + i))));
            workers.get(i).start();
        }
        store.put("op", "config", CONFIGURATION);
        List<Host> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            hosts.add(host("host-" + i, zones[i], 10 + i));
            hosts.get(i).start();
        }
        for (Host host : hosts) {
            if (!host.awaitReady(30)) {
                return NOT_RUN;
            }
        }
        Thread.sleep(4_000);
        double startedAt = log.seconds();
        List<Thread> clients = new ArrayList<>();
        int crashes = 0;
        double lastCrashAt = 0;
        double nextDraft = startedAt;
        double nextLedger = startedAt;
        int n = 0;
        while (log.seconds() < startedAt + seconds) {
            double now = log.seconds();
            int number = n + 1;
            if (now >= nextDraft) {
                nextDraft += 1 / DRAFTS_PER_S;
                n++;
                clients.add(Thread.ofVirtual().start(() -> answers.add(send(hosts.get(number % 3), false, number))));
            } else if (now >= nextLedger) {
                nextLedger += 1 / Double.parseDouble(System.getProperty("ledgers", "0.448"));
                n++;
                clients.add(Thread.ofVirtual().start(() -> answers.add(send(hosts.get(number % 3), true, number))));
            }
            if (trouble && crashes < CRASHES && now > startedAt + crashFrom && now > lastCrashAt + Double.parseDouble(System.getProperty("gap", "0.5"))) {
                List<ModelWorker> struck = workers.stream().filter(worker -> worker.isUp() && !worker.reading.isEmpty()).limit(CRASHED_AT_ONCE).toList();
                if (!struck.isEmpty()) {
                    crashes++;
                    lastCrashAt = now;
                    log.write("script: crash %d of %d: %d of %d workers", crashes, CRASHES, struck.size(), WORKERS);
                    for (ModelWorker worker : struck) {
                        worker.crash(DOWN_MS);
                    }
                }
            }
            Worker.pause(10);
        }
        for (Thread client : clients) {
            client.join();
        }
        for (Host host : hosts) {
            host.copyLines("what=quarantine", "what=target_crashed");
        }
        long denied = answers.stream().filter(a -> a.status() >= 300 && a.status() < 500 && !a.stamped()
                && a.status() != 408 && a.status() != 421 && a.status() != 429).count();
        double allowed = 5 + answers.size() / 500.0;
        log.write("script: %d crashes; %d requests sent, all proper, %d served, %d ended with a 3xx or 4xx of the host's own (%.1f are allowed)",
                crashes, answers.size(), answers.stream().filter(Client.Answer::isServed).count(), denied, allowed);
        return denied > allowed ? BROKEN : HELD;
    }

    private Client.Answer send(Host host, boolean ledger, int n) {
        long tokens = ledger ? TOKENS : 4_960;
        String shared = ledger ? "bb00" : "aa0" + n % 3;
        Map<String, String> headers = Map.of(
                "Authorization", "Bearer k1", "X-Model", "m", "X-Token-Usage", tokens + ",650", "X-Prompt-Prefix",
                shared + ":40,f" + Integer.toHexString(n) + ":" + (tokens - 40));
        return Client.send(log, host, "POST", ledger ? "/ledger/2f" : "/draft/2f", (ledger ? "ledger-" : "draft-") + n,
                ledger ? 15_000 : 10_000, headers, new byte[ledger ? 29_000 : 1_200]);
    }

    public static void main(String... arguments) throws IOException {
        new FalseQuarantineCase(arguments).run();
    }
}
