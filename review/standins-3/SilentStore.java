import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Open connections go silent, and a worker begins to leave just after. With the argument "draining", connections between the hosts
 * and to the store go silent, and the worker reports that it is draining. With "removed", only those to the store go silent, and the
 * worker does not report it: its entry is removed.
 */
final class SilentStore extends Case {
    private static final long CONTACT_MS = 3_000;
    private static final long DRAIN_MS = 2_000;

    /** A worker goes on for a little longer than the time to drain. */
    private static final long LINGER_MS = 1_500;

    /** The longest work of an order of the site. */
    private static final long WORK_MS = 450;

    private static final int PEER_PORT = 7340;
    private static final int ENGINES = 16;

    /** The zones of the hosts, as in the site. */
    private static final List<String> HOST_ZONES = List.of("nbi-a", "nbi-a", "nbi-a", "nbi-b", "nbi-b", "nbi-c");

    private final boolean removed;

    SilentStore(boolean removed) throws IOException {
        this.removed = removed;
    }

    public static void main(String[] arguments) throws IOException {
        execute(new SilentStore(arguments[0].equals("removed")));
    }

    @Override
    int run() throws Exception {
        Store store = new Store("127.0.0.1", 0);
        store.put("op", "config", Config.text(7));
        List<String> zones = List.of("nbi-a", "nbi-b", "nbi-c");
        for (int i = 0; i < ENGINES; i++) {
            new Engine(this, store, "i-" + i, Config.MODEL, zones.get(i % 3), "127.0.0.1", new Engine.Pace() {
                @Override
                public long first(Http.Message request) {
                    return 60;
                }

                @Override
                public int events(Http.Message request) {
                    return 5;
                }

                @Override
                public long gap(Http.Message request) {
                    return 40;
                }
            });
            Thread.sleep(30);
        }
        List<Desk> desks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            desks.add(new Desk(this, store, "i-desk" + i, zones.get(i), "127.0.0.1", WORK_MS));
        }
        Hosts hosts = new Hosts(folder, store.address(), zones);
        List<Proxy> links = new ArrayList<>();
        List<Proxy> calls = new ArrayList<>();
        for (int i = 0; i < HOST_ZONES.size(); i++) {
            Hosts.Host host = hosts.add("front-" + i, HOST_ZONES.get(i));
            links.add(new Proxy(hosts.address(51 + i), host.ip, PEER_PORT));
            // Each host reaches the others, and the store, through proxies.
            String own = store.open((table, key, value) -> translate(hosts, host, key, value));
            int ownPort = Integer.parseInt(own.substring(own.lastIndexOf(':') + 1));
            calls.add(new Proxy(hosts.address(71 + i), 8223, "127.0.0.1", ownPort));
            host.storeAddress = hosts.address(71 + i) + ":8223";
        }
        for (Hosts.Host host : hosts.all()) {
            host.start();
        }
        hosts.awaitReady(40);
        note("%d hosts are ready", HOST_ZONES.size());
        Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
        Map<String, Long> sent = new ConcurrentHashMap<>();
        Map<String, String> taken = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        Thread traffic = Thread.ofVirtual().start(() -> {
            try {
                for (int i = 0; true; i++) {
                    Hosts.Host host = hosts.all().get(i % HOST_ZONES.size());
                    clients.add(Thread.ofVirtual().start(() -> {
                        String id = Client.newId();
                        sent.put(id, millis());
                        taken.put(id, host.name);
                        note("%s is sent to %s", id, host.name);
                        Client.Answer answer = Client.call(host.front(),
                                Client.head("POST", Config.UNSAFE_PATH, id, 4_000, "Content-Length: 0\r\n"), 5_000);
                        note("%s: %s", id, answer);
                        answers.put(id, answer);
                    }));
                    Thread.sleep(40);
                }
            } catch (InterruptedException e) {
                note("traffic ends");
            }
        });
        Thread.sleep(8_000);
        long silentAt = millis();
        if (trouble) {
            int silentLinks = removed ? 0 : links.stream().mapToInt(Proxy::silence).sum();
            int silentCalls = calls.stream().mapToInt(Proxy::silenceUntilKeepAlive).sum();
            note("%d open connections between hosts and %d to the store are silent from now on; new ones work", silentLinks, silentCalls);
        }
        Thread.sleep(100);
        Desk leaving = desks.get(0);
        long acknowledgedAt = removed ? leaving.removeEntry() : leaving.drain();
        while (millis() < acknowledgedAt + DRAIN_MS + LINGER_MS) {
            Thread.sleep(2);
        }
        leaving.exit();
        Thread.sleep(3_000);
        traffic.interrupt();
        traffic.join();
        for (Thread client : List.copyOf(clients)) {
            client.join();
        }
        long from = Math.max(acknowledgedAt + DRAIN_MS, silentAt + CONTACT_MS);
        int late = 0;
        int lost = 0;
        for (Map.Entry<String, Long> arrival : leaving.arrivals.entrySet().stream()
                .sorted(Comparator.comparingLong(Map.Entry::getValue)).toList()) {
            if (sent.get(arrival.getKey()) > from) {
                late++;
                Client.Answer answer = answers.get(arrival.getKey());
                lost += answer.status() == 200 ? 0 : 1;
                note("request %s, sent at %.3f to %s, reached %s at %.3f, %d ms after the acknowledgement of its leaving and %d ms after the silence began; answer %s",
                        arrival.getKey(), sent.get(arrival.getKey()) / 1_000.0, taken.get(arrival.getKey()), leaving.id,
                        arrival.getValue() / 1_000.0, arrival.getValue() - acknowledgedAt, arrival.getValue() - silentAt, answer);
            }
        }
        note("%d of %d requests reached the leaving worker late, from machines in touch; %d of them were cut off by its end",
                late, sent.size(), lost);
        for (Hosts.Host host : hosts.all()) {
            host.logs().lines().filter(line -> line.contains("what=lost") || line.contains("what=regained") || line.contains("what=assigner"))
                    .forEach(line -> note("%s: %s", host.name, line));
        }
        return late > 0 ? BROKEN : HELD;
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
}
