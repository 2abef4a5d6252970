import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A worker as PROTOCOL.md tells it: a plain service that answers after some time, or a language model that answers with a
 * stream of events. It registers in the store, writes there when more than its count changes, and can crash and start again.
 */
class Worker implements AutoCloseable {
    private static final long HEARTBEAT_MS = 1_200;
    private static final int LAPSED_HEARTBEATS = 3;
    private static final AtomicLong NUMBERS = new AtomicLong();

    final String id;
    final String service;
    final boolean model;
    final int slots;
    final Store store;
    final Log log;
    private final String zone;
    private final InetSocketAddress address;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket server;
    private volatile long born;
    private volatile long lastAliveMillis;
    private volatile boolean registered;

    /** What the worker needs to know of a request. */
    record Request(Http.Message message, String id, long deadlineMillis) {}

    Worker(Store store, Log log, String service, boolean model, int slots, String zone, String ip) throws IOException {
        this.store = store;
        this.log = log;
        this.service = service;
        this.model = model;
        this.slots = slots;
        this.zone = zone;
        this.id = "i-" + Long.toHexString(0xabc000L + NUMBERS.incrementAndGet());
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            this.address = new InetSocketAddress(ip, free.getLocalPort());
        }
    }

    String address() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    boolean isUp() {
        return server != null;
    }

    /** Starts the worker, or starts it again after a crash, and registers it. */
    void start() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(address, 200);
        born = System.currentTimeMillis();
        server = opened;
        register("ready");
        Thread.ofVirtual().start(() -> accept(opened));
        Thread.ofVirtual().start(() -> beat(opened));
    }

    /** Writes the worker's entry. */
    void register(String state) {
        registered = true;
        lastAliveMillis = System.currentTimeMillis();
        String models = model ? ",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]" : "";
        store.put(
                "servers",
                id,
                String.format(
                        Locale.ROOT,
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                                + "\"state\":\"%s\",\"cold_left_ms\":0,\"stage\":\"both\"%s,\"seq\":0,\"born\":%d}",
                        service, address(), zone, slots, state, models, born));
    }

    private void beat(ServerSocket life) {
        while (server == life) {
            lastAliveMillis = System.currentTimeMillis();
            pause(HEARTBEAT_MS);
        }
    }

    /** Ends all connections with a reset, and starts again after some time; the entry lapses after three heartbeats. */
    void crash(long downMillis) throws IOException {
        ServerSocket life = server;
        if (life == null) {
            return;
        }
        server = null;
        life.close();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It has been closed already.
            }
        }
        sockets.clear();
        log.write("worker %s: crashes", id);
        Thread.ofVirtual().start(() -> {
            long end = System.currentTimeMillis() + downMillis;
            while (System.currentTimeMillis() < end) {
                pause(50);
                if (registered && System.currentTimeMillis() - lastAliveMillis > LAPSED_HEARTBEATS * HEARTBEAT_MS) {
                    registered = false;
                    store.remove("servers", id);
                }
            }
            try {
                start();
                log.write("worker %s: is back", id);
            } catch (IOException e) {
                log.write("worker %s: can't start: %s", id, e);
            }
        });
    }

    private void accept(ServerSocket life) {
        while (!life.isClosed()) {
            try {
                Socket socket = life.accept();
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket, life));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket, ServerSocket life) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (server != life) {
                    return;
                }
                handle(socket, request);
            }
        } catch (IOException e) {
            // The caller has closed its connection, or the worker has crashed.
        } finally {
            sockets.remove(socket);
        }
    }

    private void handle(Socket socket, Http.Message message) throws IOException {
        OutputStream out = socket.getOutputStream();
        String requestId = message.header("x-request-id");
        String expected = message.header("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            log.write("worker %s: refuses %s, which expects %s", id, requestId, expected);
            Http.writeAnswer(out, 421, "X-Not-Run: 1\r\nX-Instance-Id: " + id + "\r\n", new byte[0]);
            return;
        }
        if (message.first().startsWith("POST /order ")) {
            Http.writeAnswer(out, 200, "Content-Type: application/json\r\n", Http.bytes("{\"free\":100000}"));
            return;
        }
        if (requestId == null) {
            Http.writeAnswer(out, 400, "X-Not-Run: 1\r\n", new byte[0]);
            return;
        }
        long deadline = Long.parseLong(message.headers().getOrDefault("x-deadline-ms", "60000"));
        run(socket, new Request(message, requestId, deadline));
    }

    /** Runs a request and answers it. */
    void run(Socket socket, Request request) throws IOException {
        log.write("worker %s: runs %s", id, request.id());
        if (model) {
            stream(socket, request, 60, 20, 40);
        } else {
            pause(60);
            Http.writeAnswer(socket.getOutputStream(), 200, signature(request), Http.bytes("x".repeat(800)));
        }
    }

    /** The headers that sign an answer. */
    final String signature(Request request) {
        return "X-Request-Id: " + request.id() + "\r\nX-Server-Stamp: " + id + "." + request.id() + "\r\n";
    }

    /** Answers with a stream in chunks: the first event after some time, the others in steps. */
    final void stream(Socket socket, Request request, long firstMs, int events, long stepMs) throws IOException {
        OutputStream out = socket.getOutputStream();
        pause(firstMs);
        beforeFirstEvent(request);
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n"
                + signature(request) + "Transfer-Encoding: chunked\r\n\r\n"));
        String last = request.message().header("last-event-id");
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            String text = "id: " + event + "\ndata: " + "y".repeat(40) + "\n\n";
            out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
            out.flush();
            pause(stepMs);
        }
        out.write(Http.bytes("0\r\n\r\n"));
        out.flush();
    }

    /** Called when the worker begins to write an answer. */
    void beforeFirstEvent(Request request) throws IOException {}

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        ServerSocket life = server;
        server = null;
        if (life != null) {
            life.close();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
