import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A stand-in of a model worker: streams of events, and memory that is set aside under tickets. */
final class Engine {
    static final long MEMORY_TOKENS = 405_000;
    private static final int HEARTBEAT_MS = 1_200;

    /** A worker that crashed is back after some seconds. */
    private static final long CRASH_MS = 3_000;

    private static final Map<String, Engine> BY_ADDRESS = new ConcurrentHashMap<>();

    /** How a prompt is answered. */
    interface Pace {
        /** Milliseconds until the first event. */
        long first(Http.Message request);

        /** The events of the answer. */
        int events(Http.Message request);

        /** Milliseconds between two events. */
        long gap(Http.Message request);
    }

    /** Memory that is set aside for one holder. */
    private static final class Ticket {
        final long tokens;
        long expiresAt;
        int users;
        long lastUseEndedAt = -1;

        Ticket(long tokens, long expiresAt) {
            this.tokens = tokens;
            this.expiresAt = expiresAt;
        }
    }

    /** How long a ticket's memory stayed set aside after the last request that used it had ended. */
    record Aftermath(String engine, String ticket, long tokens, long endedAt, long freedAt) {
        long millis() {
            return freedAt - endedAt;
        }
    }

    final String id;
    private final Case test;
    private final Store store;
    private final String service;
    private final String zone;
    private volatile long born = System.currentTimeMillis();
    private final Pace pace;
    private final String ip;
    private final int port;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;
    private volatile boolean down;

    /** The part of prompts that crashes this worker when it begins to write; empty for none. */
    volatile String poison = "";

    /** If set, the bodies of answers are line ends without end, until the caller closes. */
    volatile boolean endless;

    /** Receives the request whose answer crashes the worker. */
    volatile Consumer<Http.Message> onPoisoned = request -> {};
    private final Map<String, Ticket> tickets = new LinkedHashMap<>();
    private final List<Aftermath> aftermaths = new ArrayList<>();
    private int sequence;
    final AtomicInteger running = new AtomicInteger();

    /** If not empty, new prompts are turned away with this Retry-After. */
    volatile String full = "";

    Engine(Case test, Store store, String id, String service, String zone, String ip, Pace pace) throws IOException {
        this.test = test;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.pace = pace;
        this.ip = ip;
        this.server = Http.serve(ip, 0, this::handle);
        this.port = server.getLocalPort();
        BY_ADDRESS.put(address(), this);
        Thread.ofVirtual().start(this::tick);
        Thread.ofVirtual().start(this::beat);
    }

    String address() {
        return ip + ":" + port;
    }

    private void beat() {
        try {
            while (true) {
                if (!down) {
                    sequence++;
                    store.put("servers", id, Json.write(entry("ready")));
                }
                Thread.sleep(HEARTBEAT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Map<String, Object> entry(String state) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", address());
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", 11);
        entry.put("state", state);
        entry.put("cold_left_ms", 0);
        entry.put("stage", "both");
        entry.put("models", List.of(Map.of("name", "m", "version", 1, "adapters", List.of())));
        entry.put("seq", sequence);
        entry.put("born", born);
        return entry;
    }

    /** Frees memory whose time is over. */
    private void tick() {
        try {
            while (true) {
                Thread.sleep(5);
                synchronized (this) {
                    long now = test.millis();
                    for (String ticket : List.copyOf(tickets.keySet())) {
                        if (now >= tickets.get(ticket).expiresAt) {
                            free(ticket, "its time is over");
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void free(String name, String reason) {
        Ticket ticket = tickets.remove(name);
        if (ticket == null) {
            return;
        }
        long now = test.millis();
        test.note("%s: ticket %s of %d tokens freed: %s", id, name, ticket.tokens, reason);
        if (ticket.lastUseEndedAt >= 0 && ticket.users == 0) {
            aftermaths.add(new Aftermath(id, name, ticket.tokens, ticket.lastUseEndedAt, now));
        }
    }

    synchronized List<Aftermath> aftermaths() {
        return List.copyOf(aftermaths);
    }

    synchronized int tickets() {
        return tickets.size();
    }

    synchronized long setAside() {
        return tickets.values().stream().mapToLong(ticket -> ticket.tokens).sum();
    }

    private synchronized void use(String name, int change) {
        Ticket ticket = tickets.get(name);
        if (ticket == null) {
            return;
        }
        ticket.users += change;
        if (ticket.users == 0) {
            ticket.lastUseEndedAt = test.millis();
            test.note("%s: the last request that used ticket %s has ended", id, name);
        }
    }

    /** Ends the process, and starts another one under the same id after a while. */
    private void crash(long downMs) {
        test.note("%s: crashes", id);
        down = true;
        try {
            server.close();
            for (Socket connection : open) {
                connection.close();
            }
            synchronized (this) {
                tickets.clear();
            }
            Thread.sleep(downMs);
            server = Http.serve(ip, port, this::handle);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        born = System.currentTimeMillis();
        sequence = 0;
        down = false;
        test.note("%s: is back", id);
    }

    private void handle(Http.Message request, Socket connection) throws Exception {
        open.add(connection);
        try {
            answer(request, connection);
        } finally {
            if (connection.isClosed()) {
                open.remove(connection);
            }
        }
    }

    private void answer(Http.Message request, Socket connection) throws Exception {
        String expected = request.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            Http.send(connection, "421 Misdirected Request", Map.of("X-Instance-Id", id), "");
            return;
        }
        if (request.path().equals("/order")) {
            order(request, connection);
            return;
        }
        String requestId = request.header("x-request-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Request-Id", requestId);
        if (!full.isEmpty()) {
            test.note("%s: request %s turned away for %s s", id, requestId, full);
            headers.put("X-Not-Run", "1");
            headers.put("Retry-After", full);
            Http.send(connection, "503 Service Unavailable", headers, "");
            return;
        }
        stream(request, connection, requestId, headers);
    }

    private void stream(Http.Message request, Socket connection, String requestId, Map<String, String> headers)
            throws Exception {
        List<String[]> used = helpers(request);
        test.note("%s: runs %s, deadline %s ms, helpers \"%s\"", id, requestId, request.header("x-deadline-ms"),
                request.header("x-helpers"));
        used.forEach(each -> BY_ADDRESS.get(each[0]).use(each[1], 1));
        running.incrementAndGet();
        String outcome = "broken off by the caller";
        Thread watcher = Thread.ofVirtual().start(() -> awaitClose(connection));
        try {
            long end = System.nanoTime() + Long.parseLong(request.header("x-deadline-ms")) * 1_000_000;
            sleepWhileOpen(connection, pace.first(request));
            if (!poison.isEmpty() && request.header("x-prompt-prefix").contains(poison)) {
                onPoisoned.accept(request);
                outcome = "crashed the worker";
                Thread.ofVirtual().start(() -> crash(CRASH_MS));
                sleepWhileOpen(connection, CRASH_MS);
            }
            headers.put("X-Server-Stamp", id + "." + requestId);
            headers.put("X-Weight-Versions", "1");
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            headers.put("Connection", "close");
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            OutputStream out = connection.getOutputStream();
            out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
            if (endless) {
                test.note("%s: answers %s with line ends without end", id, requestId);
                byte[] chunk = ("4000\r\n" + "\n".repeat(0x4000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
                while (true) {
                    out.write(chunk);
                }
            }
            for (int event = 1; event <= pace.events(request) && System.nanoTime() < end; event++) {
                String text = "id: " + event + "\ndata: " + requestId + " " + event + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.flush();
                sleepWhileOpen(connection, pace.gap(request));
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            outcome = "complete";
        } finally {
            running.decrementAndGet();
            test.note("%s: the run of %s has ended, %s", id, requestId, outcome);
            used.forEach(each -> BY_ADDRESS.get(each[0]).use(each[1], -1));
            connection.close();
            watcher.interrupt();
        }
    }

    private static void awaitClose(Socket connection) {
        try {
            // The caller sends nothing behind its request on this connection, which this side closes after the answer.
            connection.getInputStream().read();
            connection.close();
        } catch (IOException e) {
            try {
                connection.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    private static void sleepWhileOpen(Socket connection, long millis) throws Exception {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (connection.isClosed()) {
                throw new IOException("the caller has left");
            }
            Thread.sleep(Math.max(1, Math.min(5, (end - System.nanoTime()) / 1_000_000)));
        }
    }

    /** Returns the address and the ticket of each helper that stores a part of the prompt. */
    private static List<String[]> helpers(Http.Message request) {
        List<String[]> helpers = new ArrayList<>();
        for (String entry : request.header("x-helpers").split(",")) {
            int slash = entry.indexOf('/');
            if (slash > 0) {
                helpers.add(new String[] {entry.substring(0, slash), entry.substring(slash + 1)});
            }
        }
        return helpers;
    }

    private void order(Http.Message request, Socket connection) throws IOException {
        Map<String, Object> order = Json.object(request.text());
        String name = (String) order.get("id");
        String status = "400 Bad Request";
        synchronized (this) {
            if (order.get("op").equals("release")) {
                status = "200 OK";
                test.note("%s: release of %s", id, name);
                free(name, "released");
            } else if (order.get("op").equals("reserve")) {
                status = reserve(name, ((Double) order.get("tokens")).longValue(), ((Double) order.get("hold_ms")).longValue());
            }
        }
        Http.send(connection, status, Map.of("Content-Type", "application/json", "Connection", "close"),
                "{\"free\":" + (MEMORY_TOKENS - setAside()) + "}");
    }

    private String reserve(String name, long tokens, long hold) {
        Ticket known = tickets.get(name);
        test.note("%s: reserve %s, %d tokens for %d ms%s", id, name, tokens, hold, known == null ? "" : " (renewal)");
        long expiresAt = test.millis() + Math.min(hold, 20_000);
        if (known != null) {
            known.expiresAt = expiresAt;
            return "200 OK";
        }
        if (setAside() + tokens > MEMORY_TOKENS) {
            return "409 Conflict";
        }
        tickets.put(name, new Ticket(tokens, expiresAt));
        return "200 OK";
    }
}
