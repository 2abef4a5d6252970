import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Another writer puts an entry with missing fields in the place of that of a draining worker. */
final class ForeignEntry extends Case {
    private static final long DRAIN_MS = 2_000;

    /** A worker goes on for a little longer than the time to drain. */
    private static final long LINGER_MS = 1_500;

    /** The longest work of an order of the site. */
    private static final long WORK_MS = 450;

    ForeignEntry() throws IOException {}

    public static void main(String[] arguments) throws IOException {
        execute(new ForeignEntry());
    }

    @Override
    int run() throws Exception {
        Store store = new Store("127.0.0.1", 0);
        store.put("op", "config", Config.text(7));
        List<String> zones = List.of("nbi-a", "nbi-b", "nbi-c");
        List<Desk> desks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            desks.add(new Desk(this, store, "i-desk" + i, zones.get(i), "127.0.0.1", WORK_MS));
        }
        Hosts hosts = new Hosts(folder, store.address(), zones);
        for (int i = 0; i < 3; i++) {
            hosts.add("front-" + i, zones.get(i)).start();
        }
        hosts.awaitReady(30);
        note("three hosts are ready");
        Thread.sleep(4_000);

        Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
        Map<String, Long> sent = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        Thread load = Thread.ofVirtual().start(() -> {
            try {
                for (int i = 0; i < 400; i++) {
                    Hosts.Host host = hosts.all().get(i % 3);
                    clients.add(Thread.ofVirtual().start(() -> {
                        String id = Client.newId();
                        sent.put(id, millis());
                        note("%s is sent to %s", id, host.name);
                        Client.Answer answer = Client.call(host.front(),
                                Client.head("POST", Config.UNSAFE_PATH, id, 4_000, "Content-Length: 0\r\n"), 5_000);
                        note("%s: %s", id, answer);
                        answers.put(id, answer);
                    }));
                    Thread.sleep(50);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Thread.sleep(3_000);
        Desk leaving = desks.get(0);
        leaving.awaitBeat();
        Thread.sleep(100);
        long acknowledgedAt = leaving.drain();
        Thread.sleep(DRAIN_MS);
        // Its own next entry would take the place of the other writer's.
        leaving.awaitBeat();
        if (trouble) {
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("service", Config.SHOP);
            entry.put("address", leaving.address());
            entry.put("zone", "nbi-a");
            entry.put("slots", 6);
            entry.put("state", "ready");
            store.put("servers", leaving.id, Json.write(entry));
            note("another writer has put %s: %s", leaving.id, Json.write(entry));
        }
        while (millis() < acknowledgedAt + DRAIN_MS + LINGER_MS) {
            Thread.sleep(5);
        }
        leaving.exit();
        load.join();
        for (Thread client : List.copyOf(clients)) {
            client.join();
        }
        int late = 0;
        int lost = 0;
        for (Map.Entry<String, Long> arrival : leaving.arrivals.entrySet()) {
            if (sent.get(arrival.getKey()) > acknowledgedAt + DRAIN_MS) {
                late++;
                boolean ran = leaving.finished.containsKey(arrival.getKey());
                Client.Answer answer = answers.get(arrival.getKey());
                lost += ran && answer.status() == 200 ? 0 : 1;
                note("request %s, sent at %.3f, reached %s at %.3f, %d ms after the store acknowledged that it is draining; answer %s",
                        arrival.getKey(), sent.get(arrival.getKey()) / 1_000.0, leaving.id, arrival.getValue() / 1_000.0,
                        arrival.getValue() - acknowledgedAt, answer);
            }
        }
        note("%d of %d requests reached the worker later than %d ms after the acknowledgement; %d of them were cut off by its end",
                late, sent.size(), DRAIN_MS, lost);
        return late > 0 ? BROKEN : HELD;
    }
}
