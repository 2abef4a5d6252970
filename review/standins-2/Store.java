import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: the calls for rows, in memory and linearizable. */
final class Store implements AutoCloseable {
    /** Decides before each call whether the store serves it; the call is dropped, without an answer, if not. */
    interface Gate {
        boolean serves(HttpServer.Request request, HttpServer.Connection connection) throws InterruptedException;
    }

    record Row(String table, String key, String value, long version, boolean deleted) {
        String json() {
            String state = deleted ? "\"deleted\":true" : "\"value\":" + Json.quote(value);
            return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key) + "," + state
                    + ",\"ver\":" + version + "}";
        }
    }

    private final Map<String, Map<String, Row>> tables = new TreeMap<>();
    private final HttpServer server;
    private final long started = System.nanoTime();
    private volatile Gate gate = (request, connection) -> true;
    private long version;

    Store(String address) throws IOException {
        server = new HttpServer(address, this::handle);
    }

    String endpoint() {
        return server.endpoint();
    }

    void setGate(Gate newGate) {
        gate = newGate;
    }

    /** Writes a row as the operator or a worker does; returns its version. */
    synchronized long put(String table, String key, String text) {
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        return apply(new Row(table, key, value, ++version, false));
    }

    synchronized long remove(String table, String key) {
        return apply(new Row(table, key, "", ++version, true));
    }

    private long apply(Row row) {
        tables.computeIfAbsent(row.table(), name -> new TreeMap<>()).put(row.key(), row);
        notifyAll();
        return row.version();
    }

    private boolean handle(HttpServer.Request request, HttpServer.Connection connection)
            throws IOException, InterruptedException {
        if (!gate.serves(request, connection)) {
            connection.awaitClose(60_000);
            return false;
        }
        Thread.sleep(4);
        String answer = switch (request.path()) {
            case "/rows-get" -> get(request);
            case "/rows-feed" -> feed(request);
            case "/rows-tx" -> transact(request);
            default -> "{}";
        };
        int status = answer.startsWith("412") ? 412 : 200;
        String body = status == 412 ? answer.substring(3) : answer;
        connection.answer(
                status, Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private List<Row> rows(String table) {
        return new ArrayList<>(tables.getOrDefault(table, Map.of()).values());
    }

    private String answer(List<Row> rows) {
        String list = String.join(",", rows.stream().map(Row::json).toList());
        long now = (System.nanoTime() - started) / 1_000_000;
        return "{\"rows\":[" + list + "],\"has_more\":false,\"ver\":" + version + ",\"now_ms\":" + now + "}";
    }

    private synchronized String get(HttpServer.Request request) {
        String from = request.query("from");
        List<Row> rows = rows(request.query("table"));
        rows.removeIf(row -> row.deleted() || row.key().compareTo(from) < 0);
        return answer(rows);
    }

    private synchronized String feed(HttpServer.Request request) throws InterruptedException {
        long after = Long.parseLong(request.query("after"));
        long end = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
        while (true) {
            List<Row> rows = rows(request.query("table"));
            rows.removeIf(row -> row.version() <= after);
            rows.sort(Comparator.comparingLong(Row::version));
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return answer(rows);
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String transact(HttpServer.Request request) {
        Map<String, Object> call = Json.object(new String(request.body(), StandardCharsets.UTF_8));
        List<Row> current = new ArrayList<>();
        boolean holds = true;
        for (Object entry : (List<Object>) call.getOrDefault("if_rev", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) entry;
            Row row = tables.getOrDefault(condition.get("table"), Map.of()).get(condition.get("key"));
            long known = row == null || row.deleted() ? 0 : row.version();
            holds &= known == (Long) condition.get("ver");
            if (known > 0) {
                current.add(row);
            }
        }
        if (!holds) {
            return "412" + answer(current);
        }
        version++;
        for (Object entry : (List<Object>) call.getOrDefault("set_keys", List.of())) {
            Map<String, Object> set = (Map<String, Object>) entry;
            apply(new Row((String) set.get("table"), (String) set.get("key"), (String) set.get("value"), version, false));
        }
        for (Object entry : (List<Object>) call.getOrDefault("remove", List.of())) {
            Map<String, Object> removed = (Map<String, Object>) entry;
            apply(new Row((String) removed.get("table"), (String) removed.get("key"), "", version, true));
        }
        return answer(List.of());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
