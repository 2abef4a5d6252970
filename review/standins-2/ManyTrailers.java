import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients each sends one request in chunks with very many short fields behind the last chunk, stops just short of its end
 * and stays open, while requests of ordinary clients are in progress at a sound worker.
 *
 * <p>With TROUBLE=0 there is no crowd.
 */
final class ManyTrailers {
    private static final int CROWD = 300;

    /** Fields of four bytes each, which together stay below max_header_bytes, 16,384. */
    private static final int FIELDS = 4_000;

    private static final int LOOKUPS = 6;

    /** The work of a lookup; the sheet's longest is 450 ms. */
    private static final long LOOKUP_MILLIS = 400;

    private static final long TRIAL_MILLIS = 15_000;

    public static void main(String[] arguments) {
        Trial.play(arguments, ManyTrailers::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Record record = site.record;
        Set<String> ran = ConcurrentHashMap.newKeySet();
        HttpServer app = site.own(new HttpServer(site.address(), (request, connection) -> {
            String id = request.header("X-Request-Id");
            record.write("run " + id);
            ran.add(id);
            Thread.sleep(LOOKUP_MILLIS);
            connection.answer(
                    200, Map.of("X-Request-Id", id, "X-Server-Stamp", Site.stamp()), "stock 12".getBytes());
            return true;
        }));
        site.register("i-app1", "wuno96b", app.endpoint(), "z1", 6, "ready", 1_700_000_000_000L);
        site.configure(
                7, List.of(Site.route("r-safe", "/cufi504/", "safe", "wuno96b", 4_000, 2)), Map.of("wuno96b", false));
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitReady(30_000);
        Thread.sleep(500);
        AtomicInteger lost = new AtomicInteger();
        AtomicBoolean ending = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(LOOKUPS);
        for (int i = 0; i < LOOKUPS; i++) {
            Client client = site.own(new Client(host.endpoint()));
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
        Thread.sleep(1_000);
        AtomicInteger sent = new AtomicInteger();
        if (trouble) {
            byte[] request = ("POST /no-such-route/a HTTP/1.1\r\nHost: " + Site.HOST_NAME
                            + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + "a:\r\n".repeat(FIELDS))
                    .getBytes(StandardCharsets.US_ASCII);
            for (int i = 0; i < CROWD; i++) {
                Socket socket = site.own(new Socket());
                Thread.ofVirtual().start(() -> hold(socket, host, request, sent));
            }
        }
        for (int i = 0; i < TRIAL_MILLIS / 100 && host.isAlive(); i++) {
            Thread.sleep(100);
        }
        ending.set(true);
        ended.await();
        boolean alive = host.isAlive();
        record.write("crowd: " + sent.get() + " requests were sent but for their last bytes");
        record.write("the host is " + (alive ? "alive" : "gone, exit code " + host.exitCode()));
        record.write(lost.get() + " requests from kept connections that ran at a sound worker ended without an answer");
        return !alive || lost.get() > 3 ? 1 : 0;
    }

    private static void hold(Socket socket, Host host, byte[] request, AtomicInteger sent) {
        try (socket) {
            int colon = host.endpoint().lastIndexOf(':');
            int port = Integer.parseInt(host.endpoint().substring(colon + 1));
            socket.connect(new InetSocketAddress(host.endpoint().substring(0, colon), port), 5_000);
            socket.getOutputStream().write(request);
            sent.incrementAndGet();
            socket.setSoTimeout(20_000);
            while (socket.getInputStream().read() >= 0) {
                // Reads the refusal, if there is one.
            }
        } catch (IOException e) {
            // The host closed the connection, or is gone.
        }
    }
}
