/** A configuration like that of a small deployment. */
final class Config {
    static final String MODEL = "huvo11a";
    static final String SHOP = "wuno96b";
    static final String LONG_PATH = "/lohu930/2f";
    static final String SHORT_PATH = "/pufi791/2f";
    static final String UNSAFE_PATH = "/puxa403/2f";
    static final String SAFE_PATH = "/cufi504/2f";

    private Config() {}

    static String text(int version) {
        return text(version, 4_000);
    }

    /** Returns a configuration with a time limit of orders, in milliseconds. */
    static String text(int version, int orderTimeout) {
        return "{\"version\":" + version + ",\"routes\":["
                + route("r-1", "/lohu930/", "stream", 15_000, 3_000, MODEL, 2, 1_000) + ","
                + route("r-2", "/pufi791/", "stream", 10_000, 300, MODEL, 2, 250) + ","
                + route("r-3", "/puxa403/", "unsafe", orderTimeout, 386, SHOP, 1, 0) + ","
                + route("r-4", "/cufi504/", "safe", 4_000, 386, SHOP, 2, 0) + "],\"services\":["
                + "{\"name\":\"" + MODEL + "\",\"health_path\":\"/health\",\"max_conns\":334,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":11,\"kv_capacity\":405000,\"kv_token_bytes\":163840,\"link_mbps\":400000.0,\"stride\":34,"
                + "\"models\":[{\"name\":\"m\"}],\"step_ms\":1.31,\"per_seq_ms\":0.0013338,\"context_per_k\":0.00213,"
                + "\"read_per_s\":154000.0,\"pairs_per_m\":0.162,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":0.0,"
                + "\"loads_at_once\":8,\"usual\":{\"prompt\":11319,\"answer\":1266},\"hop_ms\":0.1}},"
                + "{\"name\":\"" + SHOP + "\",\"health_path\":\"/health\",\"max_conns\":48,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + Client.KEY + "\"],\"priority\":1}]}";
    }

    private static String route(
            String name, String prefix, String kind, int timeout, int goal, String service, int attempts, int gap) {
        boolean stream = kind.equals("stream");
        return "{\"name\":\"" + name + "\",\"host\":\"" + Client.HOST + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeout + ",\"goal_ms\":" + goal + ",\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":" + attempts + ",\"public\":false"
                + (stream ? ",\"sticky\":true,\"resumable\":true,\"gap_target_ms\":" + gap : "") + "}";
    }
}
