import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A stand-in of a worker of the ordering application, whose requests may run once at most. */
final class Desk {
    static final int HEARTBEAT_MS = 1_200;

    final String id;
    private final Case test;
    private final Store store;
    private final String zone;
    private final long workMs;
    private final long born = System.currentTimeMillis();
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    final Map<String, Long> arrivals = new ConcurrentHashMap<>();
    final Map<String, Long> finished = new ConcurrentHashMap<>();
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean ended;

    /** When the worker wrote its entry last. */
    private volatile long wroteAt;

    Desk(Case test, Store store, String id, String zone, String ip, long workMs) throws IOException {
        this.test = test;
        this.store = store;
        this.id = id;
        this.zone = zone;
        this.workMs = workMs;
        this.server = Http.serve(ip, 0, this::handle);
        Thread.ofVirtual().start(this::beat);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void beat() {
        try {
            while (!ended) {
                write();
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the worker's own entry, and returns when the store has it. */
    synchronized long write() {
        if (ended) {
            return test.millis();
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", Config.SHOP);
        entry.put("address", address());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", 6);
        entry.put("state", draining ? "draining" : "ready");
        entry.put("cold_left_ms", 0);
        entry.put("stage", "both");
        entry.put("models", List.of());
        entry.put("seq", sequence.incrementAndGet());
        entry.put("born", born);
        store.put("servers", id, Json.write(entry));
        wroteAt = test.millis();
        return wroteAt;
    }

    /** Returns once the worker has written its entry again. */
    void awaitBeat() throws InterruptedException {
        long last = wroteAt;
        while (wroteAt == last) {
            Thread.sleep(2);
        }
    }

    /** Reports that the worker is draining; returns when the store acknowledged it. */
    long drain() {
        draining = true;
        long at = write();
        test.note("%s: draining, acknowledged by the store", id);
        return at;
    }

    /** Leaves without a report: the entry is removed; returns when the store acknowledged it. */
    synchronized long removeEntry() {
        ended = true;
        store.remove("servers", id);
        test.note("%s: its entry is removed, acknowledged by the store", id);
        return test.millis();
    }

    /** Ends the process: the entry is removed, and connections are cut. */
    void exit() throws IOException {
        ended = true;
        server.close();
        for (Socket connection : open) {
            connection.close();
        }
        store.remove("servers", id);
        test.note("%s: has ended", id);
    }

    private void handle(Http.Message request, Socket connection) throws Exception {
        open.add(connection);
        try {
            String requestId = request.header("x-request-id");
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("X-Request-Id", requestId);
            String expected = request.header("x-expect-instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                headers.put("X-Instance-Id", id);
                Http.send(connection, "421 Misdirected Request", headers, "");
                return;
            }
            arrivals.put(requestId, test.millis());
            test.note("%s: runs %s", id, requestId);
            Thread.sleep(workMs);
            if (connection.isClosed()) {
                test.note("%s: %s is cut off", id, requestId);
                return;
            }
            finished.put(requestId, test.millis());
            test.note("%s: has run %s", id, requestId);
            headers.put("X-Server-Stamp", id + "." + requestId);
            if (draining) {
                headers.put("Connection", "close");
            }
            Http.send(connection, "200 OK", headers, "booked by " + id);
            if (draining) {
                connection.close();
            }
        } finally {
            if (connection.isClosed()) {
                open.remove(connection);
            }
        }
    }
}
