import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A version of the configuration takes away the keys of the only tenant, while clients go on with these keys, others with keys
 * that never existed, or without one.
 *
 * <p>With TROUBLE=0 the version takes away one key only.
 */
final class RevokedKeys {
    private static final int REQUESTS = 5;

    /** The keys are taken away for longer than config_ms (2,000), max_skew_ms and revoke_ms (5,000 each) together. */
    private static final long WAIT_MILLIS = 13_000;

    public static void main(String[] arguments) {
        Trial.play(arguments, RevokedKeys::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Record record = site.record;
        Set<String> ran = ConcurrentHashMap.newKeySet();
        HttpServer app = site.own(new HttpServer(site.address(), (request, connection) -> {
            String id = request.header("X-Request-Id");
            ran.add(id);
            record.write("run " + id + " with X-Tenant \"" + request.header("X-Tenant") + "\"");
            connection.answer(
                    200, Map.of("X-Request-Id", id, "X-Server-Stamp", Site.stamp()), "booked".getBytes());
            return true;
        }));
        site.register("i-app1", "wuno96b", app.endpoint(), "z1", 6, "ready", 1_700_000_000_000L);
        List<String> routes = List.of(Site.route("r-unsafe", "/puxa403/", "unsafe", "wuno96b", 4_000, 1));
        Map<String, Boolean> services = Map.of("wuno96b", false);
        int body = 4_194_304;
        site.configure(7, routes, services, body, List.of(Site.KEY, Site.SECOND_KEY));
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitInTouch();
        Client client = site.own(new Client(host.endpoint()));
        if (send(client, "first", Site.KEY, record).status() != 200
                || send(client, "foreign-before", "no-such-key", record).status() != 401) {
            return 2;
        }
        site.configure(9, routes, services, body, trouble ? List.of() : List.of(Site.SECOND_KEY));
        record.write("the store has version 9, which " + (trouble ? "has no key" : "lacks the first key"));
        Thread.sleep(WAIT_MILLIS);
        int foreign = 0;
        int dropped = 0;
        for (int i = 0; i < REQUESTS; i++) {
            send(client, "dropped-" + i, Site.KEY, record);
            send(client, "foreign-" + i, "no-such-key", record);
            send(client, "none-" + i, "", record);
        }
        for (int i = 0; i < REQUESTS; i++) {
            dropped += ran.contains("dropped-" + i) ? 1 : 0;
            foreign += ran.contains("foreign-" + i) ? 1 : 0;
            foreign += ran.contains("none-" + i) ? 1 : 0;
        }
        record.write(foreign + " requests ran whose key no configuration ever held (ROUTE)");
        record.write(dropped + " requests ran with a dropped key, 13 s after the acknowledgement (CONFIG)");
        return foreign + dropped > 0 ? 1 : 0;
    }

    private static Client.Answer send(Client client, String id, String key, Record record) {
        Map<String, String> headers = new HashMap<>(Site.headers(id, 4_000));
        headers.remove("Authorization");
        if (!key.isEmpty()) {
            headers.put("Authorization", "Bearer " + key);
        }
        Client.Answer answer = client.send("POST", "/puxa403/b", headers, "x", 4_500);
        record.write("answer to " + id + ": " + answer);
        return answer;
    }
}
