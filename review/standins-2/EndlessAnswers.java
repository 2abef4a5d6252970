import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A worker's answers go on without end until the caller closes, while other requests are in progress at sound workers.
 *
 * <p>With TROUBLE=0 the worker ends its answers.
 */
final class EndlessAnswers {
    private static final int STREAMS = 4;
    private static final int LOOKUPS = 6;
    private static final int PIECE_BYTES = 16 << 10;

    /** The rate at which the worker sends all its answers together, four fifths of the link of a machine. */
    private static final long BYTES_PER_SECOND = 100_000_000;

    /** The work of a lookup; the sheet's longest is 450 ms. */
    private static final long LOOKUP_MILLIS = 400;

    public static void main(String[] arguments) {
        Trial.play(arguments, EndlessAnswers::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Record record = site.record;
        Set<String> ran = ConcurrentHashMap.newKeySet();
        HttpServer app = site.own(new HttpServer(site.address(), (request, connection) -> {
            record.write("run " + request.header("X-Request-Id") + " at sound worker " + request.target());
            ran.add(request.header("X-Request-Id"));
            Thread.sleep(LOOKUP_MILLIS);
            connection.answer(200, answerHeaders(request), "stock 12".getBytes());
            return true;
        }));
        HttpServer engine = site.own(new HttpServer(site.address(), (request, connection) -> {
            String id = request.header("X-Request-Id");
            record.write("run " + id + " at engine");
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
            answerHeaders(request).forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            connection.write(head + "Content-Type: text/event-stream\r\n\r\n");
            if (!trouble) {
                chunk(connection, "id: 1\ndata: x\n\n");
                connection.write("0\r\n\r\n");
                return true;
            }
            String piece = "z".repeat(PIECE_BYTES);
            long begin = System.nanoTime();
            long sent = 0;
            try {
                while (true) {
                    chunk(connection, piece);
                    sent += PIECE_BYTES;
                    long due = sent * 1_000_000_000L / (BYTES_PER_SECOND / STREAMS);
                    Thread.sleep(Math.max(0, (due - (System.nanoTime() - begin)) / 1_000_000));
                }
            } catch (IOException e) {
                record.write("answer to " + id + ": the caller closed after " + sent + " bytes");
                throw e;
            }
        }));
        site.register("i-app1", "wuno96b", app.endpoint(), "z1", 6, "ready", 1_700_000_000_000L);
        site.register("i-eng1", "huvo11a", engine.endpoint(), "z1", 11, "ready", 1_700_000_000_000L);
        site.configure(
                7,
                List.of(
                        Site.route("r-stream", "/lohu930/", "stream", "huvo11a", 10_000, 2),
                        Site.route("r-safe", "/cufi504/", "safe", "wuno96b", 4_000, 2)),
                Map.of("huvo11a", true, "wuno96b", false));
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitReady(30_000);
        Thread.sleep(1_000);

        List<Client> lookups = new ArrayList<>();
        for (int i = 0; i < LOOKUPS; i++) {
            Client client = site.own(new Client(host.endpoint()));
            Client.Answer first = client.send("GET", "/cufi504/a", Site.headers("first-" + i, 4_000), "", 4_000);
            if (!first.isSuccess()) {
                record.write("first request " + i + " was answered " + first);
                return 2;
            }
            lookups.add(client);
        }
        AtomicInteger lost = new AtomicInteger();
        AtomicBoolean ending = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(LOOKUPS);
        for (int i = 0; i < LOOKUPS; i++) {
            Client client = lookups.get(i);
            String name = "lookup-" + i + "-";
            Thread.ofVirtual().start(() -> {
                Client.End last = Client.End.ANSWERED;
                for (int n = 0; last == Client.End.ANSWERED && !ending.get(); n++) {
                    String id = name + n;
                    Client.Answer answer = client.send("GET", "/cufi504/a", Site.headers(id, 4_000), "", 4_500);
                    record.write("answer to " + id + ": " + answer);
                    last = answer.end();
                    if (last != Client.End.ANSWERED && ran.contains(id)) {
                        lost.incrementAndGet();
                    }
                }
                ended.countDown();
            });
        }
        Thread.sleep(500);
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            Client client = site.own(new Client(host.endpoint()));
            Map<String, String> headers = Site.prompt(new HashMap<>(Site.headers(id, 10_000)), 4_960, 38, "e4402b7" + i);
            record.write("send " + id);
            Thread.ofVirtual().start(() -> record.write("answer to " + id + ": "
                    + client.send("POST", "/lohu930/2f", headers, "prompt " + id, 11_000)));
        }
        for (int i = 0; i < 120 && host.isAlive(); i++) {
            Thread.sleep(100);
        }
        ending.set(true);
        ended.await();
        boolean alive = host.isAlive();
        record.write("the host is " + (alive ? "alive" : "gone, exit code " + host.exitCode()));
        record.write(lost.get() + " requests from kept connections that ran at a sound worker ended without an answer");
        return !alive || lost.get() > 3 ? 1 : 0;
    }

    private static Map<String, String> answerHeaders(HttpServer.Request request) {
        return Map.of("X-Request-Id", request.header("X-Request-Id"), "X-Server-Stamp", Site.stamp());
    }

    private static void chunk(HttpServer.Connection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
