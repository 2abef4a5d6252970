import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A version of the configuration raises the size of a body while clients keep their connections; each then sends one
 * request inside the new limit.
 *
 * <p>With TROUBLE=0 the first version has the larger limit already, and the second one changes nothing of it.
 */
final class LargerLimits {
    private static final int CLIENTS = 12;
    private static final int OLD_BODY_BYTES = 65_536;
    private static final int NEW_BODY_BYTES = 4_194_304;
    private static final int SENT_BYTES = 200_000;
    private static final long CONFIG_MILLIS = 2_000;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit;
        try (Site site = new Site(Path.of(arguments[0]), Path.of(arguments[1]))) {
            exit = run(site, trouble);
            site.record.write("exit " + exit);
        } catch (IOException e) {
            System.err.println("error: the case cannot run: " + e);
            exit = 2;
        }
        System.exit(exit);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Record record = site.record;
        HttpServer app = site.own(new HttpServer(site.address(), (request, connection) -> {
            record.write("run " + request.header("X-Request-Id") + " with " + request.body().length + " bytes");
            connection.answer(
                    200,
                    Map.of("X-Request-Id", request.header("X-Request-Id"), "X-Server-Stamp", Site.stamp()),
                    "stock 12".getBytes());
            return true;
        }));
        site.register("i-app1", "wuno96b", app.endpoint(), "z1", 6, "ready", 1_700_000_000_000L);
        List<String> routes = List.of(Site.route("r-unsafe", "/puxa403/", "unsafe", "wuno96b", 4_000, 1));
        Map<String, Boolean> services = Map.of("wuno96b", false);
        site.configure(7, routes, services, trouble ? OLD_BODY_BYTES : NEW_BODY_BYTES);
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitReady(30_000);
        Thread.sleep(500);
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = site.own(new Client(host.endpoint()));
            Client.Answer answer = client.send("POST", "/puxa403/b", Site.headers("first-" + i, 4_000), "x", 4_500);
            record.write("answer to first-" + i + ": " + answer);
            if (!answer.isSuccess()) {
                return 2;
            }
            clients.add(client);
        }
        site.configure(9, routes, services, NEW_BODY_BYTES);
        record.write("the store has version 9 with bodies of up to " + NEW_BODY_BYTES + " bytes");
        Thread.sleep(CONFIG_MILLIS + 2_000);
        int denied = 0;
        String body = "x".repeat(SENT_BYTES);
        for (int i = 0; i < CLIENTS; i++) {
            Client.Answer answer =
                    clients.get(i).send("POST", "/puxa403/b", Site.headers("kept-" + i, 4_000), body, 4_500);
            record.write("answer to kept-" + i + " of " + SENT_BYTES + " bytes: " + answer);
            denied += answer.status() / 100 == 4 ? 1 : 0;
        }
        try (Client client = new Client(host.endpoint())) {
            Client.Answer answer = client.send("POST", "/puxa403/b", Site.headers("new", 4_000), body, 4_500);
            record.write("answer to the same request on a new connection: " + answer);
        }
        double allowed = 5 + (2 * CLIENTS + 1) / 500.0;
        record.write(denied + " proper requests were ended with a 4xx; " + allowed + " are allowed");
        return denied > allowed ? 1 : 0;
    }
}
