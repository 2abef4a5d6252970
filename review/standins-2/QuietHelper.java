import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A worker that holds a part of a long prompt turns further calls away with 503 and Retry-After.
 *
 * <p>With TROUBLE=0 it takes them.
 */
final class QuietHelper {
    private static final long PROMPT_TOKENS = 450_000;
    private static final int ENGINES = 8;
    private static final long READING_MILLIS = 6_000;
    private static final long QUIET_SECONDS = 10;
    private static final long HALF_SECOND = 500;
    private static final int ALLOWED = 2;

    /** The orders that reached one worker. */
    private static final class Orders {
        final AtomicInteger all = new AtomicInteger();
        final AtomicInteger inQuiet = new AtomicInteger();
        final AtomicLong quietSince = new AtomicLong(-1);
        final AtomicLong heldUntil = new AtomicLong();
    }

    public static void main(String[] arguments) {
        Trial.play(arguments, QuietHelper::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Record record = site.record;
        List<Orders> orders = new ArrayList<>();
        Map<String, Orders> ordersByEndpoint = new ConcurrentHashMap<>();
        AtomicReference<Orders> shedding = new AtomicReference<>();
        for (int i = 0; i < ENGINES; i++) {
            Orders own = new Orders();
            orders.add(own);
            String name = "i-eng" + i;
            HttpServer engine = site.own(new HttpServer(site.address(), (request, connection) -> {
                if (request.path().equals("/order")) {
                    shedding.compareAndSet(null, own);
                    return order(name, own, request, connection, record, trouble && shedding.get() == own);
                }
                String id = request.header("X-Request-Id");
                record.write("run " + id + " at " + name + " with helpers " + request.header("X-Helpers"));
                long end = millis() + READING_MILLIS;
                while (millis() < end) {
                    Thread.sleep(50);
                    for (String helper : request.header("X-Helpers").split(",")) {
                        Orders orderedAt = ordersByEndpoint.get(helper.split("/")[0]);
                        if (helper.contains("/") && orderedAt != null && orderedAt.heldUntil.get() < millis()) {
                            record.write("cut off " + id + ", as its memory at " + helper + " has expired");
                            connection.reset();
                            return false;
                        }
                    }
                }
                String body = "id: 1\ndata: x\n\n";
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " + id
                        + "\r\nX-Server-Stamp: " + Site.stamp() + "\r\n\r\n" + Integer.toHexString(body.length())
                        + "\r\n" + body + "\r\n0\r\n\r\n");
                return true;
            }));
            ordersByEndpoint.put(engine.endpoint(), own);
            site.register(name, "huvo11a", engine.endpoint(), "z1", 11, "ready", 1_700_000_000_000L);
        }
        site.configure(
                7,
                List.of(Site.route("r-stream", "/lohu930/", "stream", "huvo11a", 15_000, 2)
                        .replace("\"goal_ms\":300", "\"goal_ms\":4000")
                        .replace("\"gap_target_ms\":250", "\"gap_target_ms\":1000")),
                Map.of("huvo11a", true));
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitInTouch();
        Client client = site.own(new Client(host.endpoint()));
        Map<String, String> headers =
                Site.prompt(new HashMap<>(Site.headers("ledger-0", 15_000)), PROMPT_TOKENS, 19, "e4402b70");
        record.write("answer to ledger-0: " + client.send("POST", "/lohu930/2f", headers, "prompt", 15_500));
        int most = 0;
        for (int i = 0; i < orders.size(); i++) {
            Orders own = orders.get(i);
            record.write("i-eng" + i + ": " + own.all + " orders, " + own.inQuiet
                    + " of them from half a second after its first 503 with Retry-After to the end of that time");
            most = Math.max(most, own.inQuiet.get());
        }
        return most > ALLOWED ? 1 : 0;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private static boolean order(
            String name,
            Orders own,
            HttpServer.Request request,
            HttpServer.Connection connection,
            Record record,
            boolean trouble)
            throws IOException {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        int number = own.all.incrementAndGet();
        if (number <= 10) {
            record.write("order " + number + " at " + name + ": " + body);
        }
        long now = millis();
        long since = own.quietSince.get();
        if (since >= 0 && now - since > HALF_SECOND && now - since < QUIET_SECONDS * 1_000) {
            own.inQuiet.incrementAndGet();
        }
        if (!trouble || number == 1) {
            own.heldUntil.set(body.contains("\"release\"") ? 0 : now + (Long) Json.object(body).get("hold_ms"));
            connection.answer(200, Map.of("Content-Type", "application/json"), "{\"free\":100000}".getBytes());
            return true;
        }
        own.quietSince.compareAndSet(-1, now);
        connection.answer(
                503, Map.of("X-Not-Run", "1", "Retry-After", Long.toString(QUIET_SECONDS)), new byte[0]);
        return true;
    }
}
