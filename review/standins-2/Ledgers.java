import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients with kept connections whose streams are read by sound workers while something else is wrong. */
final class Ledgers {
    static final String SERVICE = "huvo12b";

    private static final int CLIENTS = 6;

    /** From the arrival of a prompt to its first event; the sheet's clients wait for 15 s. */
    private static final long READING_MILLIS = 12_000;

    private static final long DEADLINE_MILLIS = 15_000;

    private final Site site;
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private final CountDownLatch ended = new CountDownLatch(CLIENTS);

    /** Starts and registers the workers, one for each client. */
    Ledgers(Site site) throws IOException {
        this.site = site;
        for (int i = 1; i <= CLIENTS; i++) {
            HttpServer engine = site.own(new HttpServer(site.address(), this::answer));
            site.register("i-sound" + i, SERVICE, engine.endpoint(), "z1", 11, "ready", 1_700_000_000_000L);
        }
    }

    private boolean answer(HttpServer.Request request, HttpServer.Connection connection)
            throws IOException, InterruptedException {
        String id = request.header("X-Request-Id");
        site.record.write("run " + id + " at a sound worker");
        if (id.startsWith("ledger")) {
            ran.add(id);
            Thread.sleep(READING_MILLIS);
        }
        String event = "id: 1\ndata: x\n\n";
        connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " + id + "\r\nX-Server-Stamp: "
                + Site.stamp() + "\r\nContent-Type: text/event-stream\r\n\r\n" + Integer.toHexString(event.length())
                + "\r\n" + event + "\r\n0\r\n\r\n");
        return true;
    }

    /** Returns the route, with the bounds of ledger-reconcile. */
    static String route() {
        return Site.route("r-ledger", "/lohu940/", "stream", SERVICE, (int) DEADLINE_MILLIS, 1)
                .replace("\"goal_ms\":300", "\"goal_ms\":4000")
                .replace("\"gap_target_ms\":250", "\"gap_target_ms\":1000");
    }

    /** Sends one short prompt on each connection, then the ledgers, and waits until workers read all of them. */
    void start(Host host) throws IOException, InterruptedException {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = site.own(new Client(host.endpoint()));
            Client.Answer first = send(client, "short-" + i, 1_000);
            if (!first.isSuccess()) {
                throw new IOException("the first request of client " + i + " was answered " + first);
            }
            clients.add(client);
        }
        for (int i = 0; i < CLIENTS; i++) {
            Client client = clients.get(i);
            String id = "ledger-" + i;
            Thread.ofVirtual().start(() -> {
                Client.Answer answer = send(client, id, 60_000);
                if (answer.end() == Client.End.CLOSED && ran.contains(id)) {
                    lost.incrementAndGet();
                }
                ended.countDown();
            });
        }
        for (int i = 0; i < 50 && ran.size() < CLIENTS; i++) {
            Thread.sleep(100);
        }
        if (ran.size() < CLIENTS) {
            throw new IOException("only " + ran.size() + " of " + CLIENTS + " ledgers have reached a worker after 5 s");
        }
    }

    private Client.Answer send(Client client, String id, int tokens) {
        Map<String, String> headers =
                Site.prompt(new HashMap<>(Site.headers(id, DEADLINE_MILLIS)), tokens, 19, Integer.toHexString(id.hashCode()));
        Client.Answer answer = client.send("POST", "/lohu940/2f", headers, "prompt " + id, DEADLINE_MILLIS + 500);
        site.record.write("answer to " + id + ": " + answer.toString().replace("\n", " "));
        return answer;
    }

    /** Waits until the ledgers have ended; returns how many were cut at a sound worker, without an answer. */
    int awaitLost() throws InterruptedException {
        ended.await(DEADLINE_MILLIS + 1_000, TimeUnit.MILLISECONDS);
        site.record.write(lost + " requests from kept connections that a sound worker was reading ended without an answer;"
                + " 3 are allowed");
        return lost.get();
    }
}
