import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A part of prompts crashes workers; another part, which stands behind it in those prompts, is sound. */
final class WrongPart extends Case {
    private static final int ENGINES = 6;
    private static final long CONTACT_MS = 3_000;
    private static final String CRASHING = "bad0bad0";
    private static final String SOUND = "d0c0d0c0";
    private static final long RUN_MS = 30_000;

    WrongPart() throws IOException {}

    public static void main(String[] arguments) throws IOException {
        execute(new WrongPart());
    }

    @Override
    int run() throws Exception {
        Store store = new Store("127.0.0.1", 0);
        store.put("op", "config", Config.text(7));
        List<String> zones = List.of("nbi-a", "nbi-b", "nbi-c");
        List<Long> crashes = new CopyOnWriteArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine(this, store, "i-" + i, Config.MODEL, zones.get(i % 3), "127.0.0.1", new Engine.Pace() {
                @Override
                public long first(Http.Message request) {
                    return 60;
                }

                @Override
                public int events(Http.Message request) {
                    return 10;
                }

                @Override
                public long gap(Http.Message request) {
                    return 40;
                }
            });
            engine.poison = CRASHING;
            engine.onPoisoned = request -> crashes.add(millis());
        }
        Hosts hosts = new Hosts(folder, store.address(), zones);
        for (int i = 0; i < 3; i++) {
            hosts.add("front-" + i, zones.get(i)).start();
        }
        hosts.awaitReady(30);
        note("three hosts are ready");
        Thread.sleep(4_000);
        Map<Integer, AtomicInteger> sound = new ConcurrentHashMap<>();
        Map<Integer, AtomicInteger> others = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        long end = millis() + RUN_MS;
        for (int i = 0; millis() < end; i++) {
            Hosts.Host host = hosts.all().get(i % 3);
            if (trouble && i >= 10 && i % 20 == 10) {
                clients.add(Thread.ofVirtual().start(() -> call(host, "with both parts", "5c1e07a2:40," + CRASHING + ":60," + SOUND + ":400", Map.of())));
            }
            if (i >= 40 && i % 5 == 0) {
                clients.add(Thread.ofVirtual().start(() -> call(host, "with the sound part", "5c1e07a2:40," + SOUND + ":400", sound)));
            }
            clients.add(Thread.ofVirtual().start(() -> call(host, "with neither", "5c1e07a2:40", others)));
            Thread.sleep(100);
        }
        for (Thread client : clients) {
            client.join();
        }
        note("workers crashed at %s", crashes);
        note("answers to requests with the sound part: %s; to others: %s", sound, others);
        int denied = sound.getOrDefault(400, new AtomicInteger()).get() + others.getOrDefault(400, new AtomicInteger()).get();
        int all = clients.size();
        note("%d of %d requests were denied; %.1f are allowed", denied, all, 5 + all / 500.0);
        for (Hosts.Host host : hosts.all()) {
            host.logs().lines().filter(line -> line.contains("quarantine ")).forEach(line -> note("%s: %s", host.name, line));
        }
        return denied > 5 + all / 500.0 ? BROKEN : HELD;
    }

    private void call(Hosts.Host host, String kind, String parts, Map<Integer, AtomicInteger> statuses) {
        String id = Client.newId();
        note("%s, %s, is sent to %s", id, kind, host.name);
        Client.Answer answer = Client.call(host.front(), Client.head("POST", Config.SHORT_PATH, id, 10_000,
                "X-Model: m\r\nX-Token-Usage: 4960,40\r\nX-Prompt-Prefix: " + parts + "," + id + ":4460\r\nContent-Length: 0\r\n"), 11_000);
        note("%s, %s: %s", id, kind, answer);
        if (!statuses.getClass().getName().contains("Immutable")) {
            statuses.computeIfAbsent(answer.status(), status -> new AtomicInteger()).incrementAndGet();
        }
    }
}
