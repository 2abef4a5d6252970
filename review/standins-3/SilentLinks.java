import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The open connections between the hosts go silent; later, requests come of which one part crashes workers. */
final class SilentLinks extends Case {
    private static final long CONTACT_MS = 3_000;
    private static final int HOSTS = 6;
    private static final int ENGINES = 16;
    private static final int PEER_PORT = 7340;
    private static final int REQUESTS = 10;
    private static final long INTERVAL_MS = 2_000;
    private static final int COUNTED_CRASHES = 5;
    private static final int ALLOWED = 3;
    private static final String POISON = "bad0bad0";

    SilentLinks() throws IOException {}

    public static void main(String[] arguments) throws IOException {
        execute(new SilentLinks());
    }

    @Override
    int run() throws Exception {
        Store store = new Store("127.0.0.1", 0);
        store.put("op", "config", Config.text(7));
        List<String> zones = List.of("nbi-a", "nbi-b", "nbi-c");
        Engine.Pace pace = new Engine.Pace() {
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
        };
        List<Long> reached = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < ENGINES; i++) {
            Engine engine = new Engine(this, store, "i-" + i, Config.MODEL, zones.get(i % 3), "127.0.0.1", pace);
            engine.poison = POISON;
            engine.onPoisoned = request -> reached.add(millis());
        }
        Hosts hosts = new Hosts(folder, store.address(), zones);
        List<Proxy> proxies = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            Hosts.Host host = hosts.add("front-" + i, zones.get(i % 3));
            proxies.add(new Proxy(hosts.address(51 + i), host.ip, PEER_PORT));
            // Each host reaches the others through proxies, whose addresses stand in their entries.
            host.storeAddress = store.open((table, key, value) -> translate(hosts, host, key, value));
        }
        for (Hosts.Host host : hosts.all()) {
            host.start();
        }
        hosts.awaitReady(40);
        note("%d hosts are ready", HOSTS);
        Thread traffic = Thread.ofVirtual().start(() -> soundTraffic(hosts));
        Thread.sleep(6_000);
        if (trouble) {
            int silent = proxies.stream().mapToInt(Proxy::silence).sum();
            note("%d open connections between hosts are silent from now on; new ones work", silent);
        }
        Thread.sleep(CONTACT_MS + 2_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Hosts.Host host = hosts.all().get(i % HOSTS);
            clients.add(Thread.ofVirtual().start(() -> {
                String id = Client.newId();
                Client.Answer answer = prompt(host, id, "5c1e07a2:40," + POISON + ":60," + id + ":4860");
                note("request %s with the part at %s: %s", id, host.name, answer);
            }));
            Thread.sleep(INTERVAL_MS);
        }
        for (Thread client : clients) {
            client.join();
        }
        traffic.interrupt();
        traffic.join();
        note("%d requests with the part reached workers, at %s", reached.size(), reached);
        int late = 0;
        if (reached.size() >= COUNTED_CRASHES) {
            long from = reached.get(COUNTED_CRASHES - 1) + CONTACT_MS;
            late = (int) reached.stream().filter(at -> at > from).count();
        }
        note("%d of them later than %d ms after the fifth crash", late, CONTACT_MS);
        for (Hosts.Host host : hosts.all()) {
            host.logs().lines().filter(line -> line.contains("assigner") || line.contains("quarantine"))
                    .forEach(line -> note("%s: %s", host.name, line));
        }
        return late > ALLOWED ? BROKEN : HELD;
    }

    private static byte[] translate(Hosts hosts, Hosts.Host reader, String key, byte[] value) {
        if (!key.startsWith("host/") || key.equals("host/" + reader.name)) {
            return value;
        }
        String text = new String(value, StandardCharsets.ISO_8859_1);
        for (int i = 0; i < hosts.all().size(); i++) {
            text = text.replace(hosts.all().get(i).ip, hosts.address(51 + i));
        }
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private void soundTraffic(Hosts hosts) {
        try {
            for (int i = 0; true; i++) {
                Hosts.Host host = hosts.all().get(i % HOSTS);
                Thread.ofVirtual().start(() -> {
                    String id = Client.newId();
                    note("%s: %s", id, prompt(host, id, "5c1e07a2:40," + id + ":4920"));
                });
                Thread.sleep(60);
            }
        } catch (InterruptedException e) {
            note("sound traffic ends");
        }
    }

    private static Client.Answer prompt(Hosts.Host host, String id, String parts) {
        String head = Client.head("POST", Config.SHORT_PATH, id, 10_000,
                "X-Model: m\r\nX-Token-Usage: 4960,40\r\nX-Prompt-Prefix: " + parts + "\r\nContent-Length: 0\r\n");
        return Client.call(host.front(), head, 11_000);
    }
}
