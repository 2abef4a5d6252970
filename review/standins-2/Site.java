import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

/** A small deployment on loopback addresses: the store, workers and the hosts of the system. */
final class Site implements AutoCloseable {
    static final String HOST_NAME = "shop.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String SECOND_KEY = "anfqasnmgkcuyj8pjbvk";
    static final String ENGINE = "{\"slots\":11,\"kv_capacity\":405000,\"kv_token_bytes\":163840,"
            + "\"link_mbps\":400000.0,\"stride\":34,\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,"
            + "\"per_seq_ms\":0.00133,\"context_per_k\":0.00213,\"read_per_s\":154000.0,\"pairs_per_m\":0.162,"
            + "\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,\"delays\":[],"
            + "\"usual\":{\"prompt\":11319,\"answer\":1266},\"hop_ms\":0.1}";

    final Path root;
    final Path folder;
    final Record record;
    final Store store;
    final List<Host> hosts = new ArrayList<>();
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final String prefix;
    private int lastAddress;

    Site(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.folder = Files.createTempDirectory("review");
        this.record = new Record(caseFolder.resolve("record.txt"));
        ThreadLocalRandom random = ThreadLocalRandom.current();
        this.prefix = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
        this.store = new Store(address());
        parts.add(store);
    }

    /** Returns a loopback address that nothing else of this case uses. */
    String address() {
        return prefix + ++lastAddress;
    }

    Host host(String name, String zone, Map<String, String> values) throws IOException {
        return host(name, zone, store.endpoint(), values);
    }

    Host host(String name, String zone, String storeEndpoint, Map<String, String> values) throws IOException {
        Host host = new Host(root, folder, name, zone, address(), storeEndpoint, values);
        hosts.add(host);
        parts.add(host);
        return host;
    }

    <T extends AutoCloseable> T own(T part) {
        parts.add(part);
        return part;
    }

    /** Registers a worker. */
    void register(String id, String service, String endpoint, String zone, int slots, String state, long born) {
        store.put(
                "servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + endpoint + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                        + "\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,"
                        + "\"adapters\":[]}],\"seq\":1,\"born\":" + born + "}");
    }

    static String route(String name, String prefix, String kind, String service, int timeout, int attempts) {
        boolean stream = kind.equals("stream");
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST_NAME + "\",\"prefix\":\"" + prefix + "\",\"kind\":\""
                + kind + "\",\"timeout_ms\":" + timeout + ",\"goal_ms\":300,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"public\":false,\"sticky\":" + stream
                + (stream ? ",\"resumable\":true,\"gap_target_ms\":250" : "") + "}";
    }

    void configure(long version, List<String> routes, Map<String, Boolean> engines) {
        configure(version, routes, engines, 4_194_304);
    }

    void configure(long version, List<String> routes, Map<String, Boolean> engines, int maxBodyBytes) {
        configure(version, routes, engines, maxBodyBytes, List.of(KEY, SECOND_KEY));
    }

    /** Writes a version of the configuration, in which one tenant has the keys. */
    void configure(
            long version, List<String> routes, Map<String, Boolean> engines, int maxBodyBytes, List<String> keys) {
        String services = engines.entrySet().stream()
                .map(entry -> "{\"name\":\"" + entry.getKey() + "\",\"health_path\":\"/health\",\"max_conns\":"
                        + (entry.getValue() ? 334 : 48) + ",\"protocol\":\"h1\",\"tls\":false"
                        + (entry.getValue() ? ",\"engine\":" + ENGINE : "") + "}")
                .collect(Collectors.joining(","));
        store.put(
                "op",
                "config",
                "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[" + services
                        + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + maxBodyBytes + ","
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\","
                        + "\"api_keys\":[" + String.join(",", keys.stream().map(Json::quote).toList())
                        + "],\"priority\":1}]}");
    }

    static Map<String, String> headers(String id, long deadline) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Host", HOST_NAME);
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", Long.toString(deadline));
        headers.put("Authorization", "Bearer " + KEY);
        return headers;
    }

    static Map<String, String> prompt(Map<String, String> headers, long tokens, int answer, String part) {
        headers.put("X-Model", "m");
        headers.put("X-Token-Usage", tokens + "," + answer);
        headers.put("X-Prompt-Prefix", "5c1e07a2:40," + part + ":" + (tokens - 40));
        return headers;
    }

    static String stamp() {
        return "3e1b.07.5a2.600.0." + Integer.toHexString(ThreadLocalRandom.current().nextInt());
    }

    /** Writes the ends of the hosts' logs that tell of errors, and removes the folder. */
    @Override
    public void close() throws Exception {
        for (Host host : hosts) {
            if (Files.exists(host.log())) {
                Files.readAllLines(host.log(), java.nio.charset.StandardCharsets.ISO_8859_1).stream()
                        .filter(line -> line.contains("OutOfMemory") || line.startsWith("error:")
                                || line.startsWith("Terminating"))
                        .limit(20)
                        .forEach(line -> record.write("log of " + host.name() + ": " + line));
            }
        }
        for (AutoCloseable part : parts) {
            part.close();
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("logs: " + folder);
        }
        record.close();
    }
}
