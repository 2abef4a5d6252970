import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the platform's store: rows, conditions and feeds, in memory. */
final class Store {
    private record Row(String value, long version, boolean removed) {}

    /** Changes what one machine reads, as a network that translates addresses does. */
    interface View {
        byte[] value(String table, String key, byte[] value);
    }

    private final Map<String, TreeMap<String, Row>> tables = new LinkedHashMap<>();
    private final ServerSocket server;
    private long version = 100;

    Store(String address, int port) throws IOException {
        server = Http.serve(address, port, (request, connection) -> handle(request, connection, (table, key, value) -> value));
    }

    /** Opens another address of the store and returns it. */
    String open(View view) throws IOException {
        ServerSocket other = Http.serve("127.0.0.1", 0, (request, connection) -> handle(request, connection, view));
        return other.getInetAddress().getHostAddress() + ":" + other.getLocalPort();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    synchronized void put(String table, String key, String value) {
        write(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), false);
    }

    synchronized void remove(String table, String key) {
        write(table, key, "", true);
    }

    private void write(String table, String key, String value, boolean removed) {
        version++;
        tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(value, version, removed));
        notifyAll();
    }

    private void handle(Http.Message request, Socket connection, View view) throws Exception {
        String[] target = request.path().split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        switch (target[0]) {
            case "/rows-get" -> reply(connection, "200 OK", rowsFrom(query, view));
            case "/rows-feed" -> reply(connection, "200 OK", changes(query, view));
            case "/rows-tx" -> transact(request, connection);
            default -> reply(connection, "404 Not Found", "{}");
        }
    }

    private void reply(Socket connection, String status, String body) throws IOException {
        Http.send(connection, status, Map.of("Content-Type", "application/json", "Store-Era", "1"), body);
    }

    private synchronized String rowsFrom(Map<String, String> query, View view) {
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Row> entry : table(query).tailMap(query.getOrDefault("from", "")).entrySet()) {
            if (entry.getValue().removed()) {
                continue;
            }
            if (rows.size() == limit) {
                more = true;
                break;
            }
            rows.add(row(query.get("table"), entry.getKey(), entry.getValue(), view));
        }
        return body(rows, more);
    }

    private TreeMap<String, Row> table(Map<String, String> query) {
        return tables.computeIfAbsent(query.get("table"), name -> new TreeMap<>());
    }

    private synchronized String changes(Map<String, String> query, View view) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Map.Entry<String, Row>> changed = new ArrayList<>(table(query).entrySet());
            changed.removeIf(entry -> entry.getValue().version() <= after);
            changed.sort((first, second) ->
                    Long.compare(first.getValue().version(), second.getValue().version()));
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!changed.isEmpty() || left <= 0) {
                List<Object> rows = new ArrayList<>();
                changed.forEach(entry -> rows.add(row(query.get("table"), entry.getKey(), entry.getValue(), view)));
                return body(rows, false);
            }
            wait(left);
        }
    }

    private static Map<String, Object> row(String table, String key, Row row, View view) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("key", key);
        map.put("ver", row.version());
        if (row.removed()) {
            map.put("deleted", true);
        } else {
            byte[] value = view.value(table, key, Base64.getDecoder().decode(row.value()));
            map.put("value", Base64.getEncoder().encodeToString(value));
        }
        return map;
    }

    private String body(List<Object> rows, boolean more) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("rows", rows);
        body.put("has_more", more);
        body.put("ver", version);
        body.put("now_ms", System.nanoTime() / 1_000_000);
        return Json.write(body);
    }

    @SuppressWarnings("unchecked")
    private void transact(Http.Message request, Socket connection) throws IOException {
        Map<String, Object> transaction = Json.object(request.text());
        synchronized (this) {
            for (Object each : (List<Object>) transaction.getOrDefault("if_rev", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                Row known = tables.computeIfAbsent((String) row.get("table"), name -> new TreeMap<>())
                        .get((String) row.get("key"));
                long current = known == null || known.removed() ? 0 : known.version();
                if (current != ((Double) row.get("ver")).longValue()) {
                    reply(connection, "412 Precondition Failed", body(List.of(), false));
                    return;
                }
            }
            for (Object each : (List<Object>) transaction.getOrDefault("set_keys", List.of())) {
                Map<String, Object> row = (Map<String, Object>) each;
                String name = (String) row.get("table");
                if (name.equals("op") || name.equals("servers")) {
                    reply(connection, "403 Forbidden", "{}");
                    return;
                }
                write(name, (String) row.get("key"), (String) row.get("value"), false);
            }
            reply(connection, "200 OK", body(List.of(), false));
        }
    }
}
