import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A host is stopped while long prompts wait in it for model workers. */
final class QueuedStopCase extends Case {
    private static final int WORKERS = Integer.getInteger("workers", 2);
    private static final long TOKENS = Long.getLong("tokens", 182_000);
    private static final double GRACE_S = 8;
    private static final long LOSS_SLACK_MS = 200;

    private final Set<String> passedOn = ConcurrentHashMap.newKeySet();
    private final ConcurrentLinkedQueue<Sent> all = new ConcurrentLinkedQueue<>();

    private record Sent(Host host, double at, Client.Answer answer) {}

    private final class ModelWorker extends Worker {
        ModelWorker(Store table, Log record, String zone, String ip) throws IOException {
            super(table, record, "model", true, 11, zone, ip);
        }

        @Override
        void run(Socket socket, Request request) throws IOException {
            passedOn.add(request.id());
            log.write("worker %s: runs %s", id, request.id());
            String helpers = request.message().headers().getOrDefault("x-helpers", "");
            int parts = 1 + (helpers.isEmpty() ? 0 : helpers.split(",").length);
            double alone = TOKENS / 154.0 + 0.162 * TOKENS * TOKENS / 2 / 1e6;
            stream(socket, request, (long) (alone / parts), 19, 66);
        }
    }

    QueuedStopCase(String... arguments) throws IOException {
        super(arguments);
    }

    @Override
    int play() throws Exception {
        double perSecond = Double.parseDouble(System.getProperty("persec", "0.513"));
        double stopAt = Double.parseDouble(System.getProperty("stop", "8"));
        String[] zones = {"za", "zb", "zc"};
        for (int i = 0; i < WORKERS; i++) {
            add(new ModelWorker(store, log, zones[i % 3], net + (100 + i))).start();
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
        double stoppedAt = -1;
        List<Thread> clients = new ArrayList<>();
        int n = 0;
        Host stopped = hosts.get(Integer.getInteger("which", 0));
        while (log.seconds() < startedAt + stopAt + 6) {
            int number = ++n;
            if (trouble && stoppedAt < 0 && log.seconds() > startedAt + stopAt) {
                stoppedAt = log.seconds();
                stopped.terminate();
            }
            // The platform needs two questions without a 200, a second apart, until it sends no more connections.
            boolean away = stoppedAt > 0 && log.seconds() > stoppedAt + 2;
            Host host = hosts.get(number % 3) == stopped && away ? hosts.get((number + 1) % 3) : hosts.get(number % 3);
            clients.add(Thread.ofVirtual().start(() -> {
                double at = log.seconds();
                all.add(new Sent(host, at, send(host, "ledger-" + number, number)));
            }));
            Worker.pause((long) (1_000 / perSecond));
        }
        for (Thread client : clients) {
            client.join();
        }
        int broken = 0;
        int cutAtWork = 0;
        for (Sent sent : all) {
            boolean ended = sent.answer().complete();
            if (!ended && sent.answer().millis() < 14_900) {
                if (passedOn.contains(sent.answer().id())) {
                    cutAtWork++;
                } else if (isCounted(sent, stopped, stoppedAt)) {
                    broken++;
                    log.write("script: %s was sent at %.3f s (SIGTERM + %.3f s), reached no worker, and its connection ended without an"
                            + " answer after %d ms", sent.answer().id(), sent.at(), sent.at() - stoppedAt, sent.answer().millis());
                }
            }
        }
        stopped.copyLines("what=stopp", "OVERLOADED", "DEADLINE");
        log.write("script: %d sent, %d served, %d cut while a worker was at work, %d ended without an answer though no worker had them",
                all.size(), all.stream().filter(s -> s.answer().isServed()).count(), cutAtWork, broken);
        return broken > 0 ? BROKEN : HELD;
    }

    /** Taken by the stopped host until its SIGTERM + 3 s, ended by it until 1 s after its grace, and later than the slack. */
    private static boolean isCounted(Sent sent, Host stopped, double stoppedAt) {
        double endedAt = sent.at() + sent.answer().millis() / 1_000.0;
        return sent.host() == stopped
                && stoppedAt > 0
                && sent.at() < stoppedAt + 3
                && endedAt > stoppedAt
                && endedAt < stoppedAt + GRACE_S + 1
                && sent.answer().millis() > LOSS_SLACK_MS;
    }

    private Client.Answer send(Host host, String id, int n) {
        Map<String, String> headers = Map.of(
                "Authorization", "Bearer k1", "X-Model", "m", "X-Token-Usage", TOKENS + ",650", "X-Prompt-Prefix",
                "bb0" + n % 3 + ":40,f" + Integer.toHexString(n) + ":" + (TOKENS - 40));
        return Client.send(log, host, "POST", "/ledger/2f", id, 15_000, headers, new byte[29_000]);
    }

    public static void main(String... arguments) throws IOException {
        new QueuedStopCase(arguments).run();
    }
}
