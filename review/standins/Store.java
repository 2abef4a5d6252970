import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The platform's store as PROTOCOL.md tells it: rows, transactions under conditions, reads in pages and feeds. */
final class Store implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ROWS = 500;
    private static final int MAX_BYTES = 1_000_000;
    private static final int ANSWER_MS = 4;

    private final Map<String, Row> rows = new TreeMap<>();
    private final ServerSocket server;
    private final Log log;
    private long version;
    private volatile Runnable afterPage = () -> {};

    private record Row(String table, String key, byte[] value, long version, boolean removed) {}

    Store(String ip, Log log) throws IOException {
        this.log = log;
        server = new ServerSocket(0, 200, InetAddress.getByName(ip));
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Sets what runs after a page of the table of workers that is not the last one was sent. */
    void onPage(Runnable action) {
        afterPage = action;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                Thread.sleep(ANSWER_MS);
                answer(socket, request);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed its connection.
        }
    }

    private void answer(Socket socket, Http.Message request) throws IOException, InterruptedException {
        String target = request.first().split(" ")[1];
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        Map<String, String> query = new TreeMap<>();
        if (target.contains("?")) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        switch (path) {
            case "/rows-get" -> get(socket, query);
            case "/rows-feed" -> feed(socket, query);
            case "/rows-tx" -> transact(socket, JSON.readTree(request.body()));
            default -> send(socket, 404, JSON.createObjectNode());
        }
    }

    private void get(Socket socket, Map<String, String> query) throws IOException {
        ObjectNode body = JSON.createObjectNode();
        ArrayNode list = body.putArray("rows");
        boolean more = false;
        synchronized (this) {
            int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "500")));
            long bytes = 0;
            for (Row row : rows.values()) {
                boolean wanted = row.table().equals(query.get("table"))
                        && !row.removed()
                        && row.key().compareTo(query.getOrDefault("from", "")) >= 0
                        && (!query.containsKey("target") || row.key().compareTo(query.get("target")) < 0);
                if (!wanted) {
                    continue;
                }
                bytes += row.value().length + row.key().length();
                if (list.size() == limit || bytes > MAX_BYTES) {
                    more = true;
                    break;
                }
                list.add(toJson(row));
            }
            body.put("has_more", more).put("ver", version).put("now_ms", nowMillis());
        }
        send(socket, 200, body);
        if (more && "servers".equals(query.get("table"))) {
            afterPage.run();
        }
    }

    private void feed(Socket socket, Map<String, String> query) throws IOException, InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = nowMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ObjectNode body = JSON.createObjectNode();
        synchronized (this) {
            while (changed(query.get("table"), after).isEmpty() && nowMillis() < until) {
                wait(Math.max(1, until - nowMillis()));
            }
            ArrayNode list = body.putArray("rows");
            changed(query.get("table"), after).forEach(row -> list.add(toJson(row)));
            body.put("ver", version).put("now_ms", nowMillis());
        }
        send(socket, 200, body);
    }

    private List<Row> changed(String table, long after) {
        List<Row> changed = new ArrayList<>();
        rows.values().stream()
                .filter(row -> row.table().equals(table) && row.version() > after)
                .sorted(java.util.Comparator.comparingLong(Row::version))
                .forEach(changed::add);
        return changed;
    }

    private void transact(Socket socket, JsonNode transaction) throws IOException, InterruptedException {
        ObjectNode body = JSON.createObjectNode();
        int status = 200;
        synchronized (this) {
            for (JsonNode condition : transaction.path("if_rev")) {
                Row row = rows.get(id(condition.path("table").asText(), condition.path("key").asText()));
                long known = row == null || row.removed() ? 0 : row.version();
                if (known != condition.path("ver").asLong()) {
                    status = 412;
                }
            }
            for (JsonNode set : status == 200 ? transaction.path("set_keys") : JSON.createArrayNode()) {
                put(set.path("table").asText(), set.path("key").asText(), set.path("value").binaryValue());
            }
            body.put("ver", version).put("now_ms", nowMillis());
        }
        send(socket, status, body);
    }

    private static String id(String table, String key) {
        return table + '\0' + key;
    }

    private static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private static ObjectNode toJson(Row row) {
        ObjectNode json = JSON.createObjectNode().put("table", row.table()).put("part", "").put("key", row.key());
        json.put("ver", row.version());
        return row.removed()
                ? json.put("deleted", true)
                : json.put("value", Base64.getEncoder().encodeToString(row.value()));
    }

    /** Writes a row as the operator, a worker or a host does. */
    synchronized void put(String table, String key, byte[] value) {
        version++;
        rows.put(id(table, key), new Row(table, key, value, version, false));
        notifyAll();
    }

    void put(String table, String key, String value) {
        put(table, key, value.getBytes(StandardCharsets.UTF_8));
        if (!table.equals("servers")) {
            log.write("store: %s/%s is written", table, key);
        }
    }

    synchronized void remove(String table, String key) {
        version++;
        rows.put(id(table, key), new Row(table, key, new byte[0], version, true));
        notifyAll();
    }

    /** Returns the readable text of the rows whose keys begin with the prefix. */
    synchronized List<String> keys(String table, String prefix) {
        return rows.values().stream()
                .filter(row -> row.table().equals(table) && row.key().startsWith(prefix) && !row.removed())
                .map(Row::key)
                .toList();
    }

    private static void send(Socket socket, int status, ObjectNode body) throws IOException {
        Http.writeAnswer(
                socket.getOutputStream(),
                status,
                "Content-Type: application/json\r\n",
                body.toString().getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
