import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients each sends one small request at a path without a route and does not read the answer, while ordinary clients
 * try new connections.
 *
 * <p>With TROUBLE=0 there is no crowd.
 */
final class SlowReaders {
    private static final int CROWD = 1_500;
    private static final int ORDINARY = 8;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long TRIAL_MILLIS = 12_000;

    public static void main(String[] arguments) {
        Trial.play(arguments, SlowReaders::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Record record = site.record;
        HttpServer app = site.own(new HttpServer(site.address(), (request, connection) -> {
            String id = request.header("X-Request-Id");
            record.write("run " + id);
            Thread.sleep(60);
            connection.answer(
                    200, Map.of("X-Request-Id", id, "X-Server-Stamp", Site.stamp()), "stock 12".getBytes());
            return true;
        }));
        site.register("i-app1", "wuno96b", app.endpoint(), "z1", 6, "ready", 1_700_000_000_000L);
        site.configure(
                7, List.of(Site.route("r-safe", "/cufi504/", "safe", "wuno96b", 4_000, 2)), Map.of("wuno96b", false));
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitInTouch();
        AtomicBoolean ending = new AtomicBoolean();
        AtomicInteger holding = new AtomicInteger();
        if (trouble) {
            for (int i = 0; i < CROWD; i++) {
                Socket socket = new Socket();
                site.own(socket);
                Thread.ofVirtual().start(() -> hold(socket, host, holding, ending));
                Thread.sleep(1);
            }
            Thread.sleep(1_000);
            record.write("crowd: " + holding.get() + " connections hold an answer that is not read");
        }
        List<Long> served = new ArrayList<>();
        AtomicInteger tried = new AtomicInteger();
        long begin = System.nanoTime();
        CountDownLatch ended = new CountDownLatch(ORDINARY);
        for (int i = 0; i < ORDINARY; i++) {
            String name = "lookup-" + i + "-";
            Thread.ofVirtual().start(() -> {
                for (int n = 0; millisSince(begin) < TRIAL_MILLIS; n++) {
                    tried.incrementAndGet();
                    Client.Answer answer;
                    try (Client client = new Client(host.endpoint())) {
                        answer = client.send("GET", "/cufi504/a", Site.headers(name + n, 1_500), "", 1_500);
                    }
                    record.write("answer to " + name + n + ": " + answer);
                    if (answer.end() == Client.End.ANSWERED) {
                        synchronized (served) {
                            served.add(millisSince(begin));
                        }
                    }
                    pause(250);
                }
                ended.countDown();
            });
        }
        int ready = 0;
        int asked = 0;
        while (ended.getCount() > 0) {
            try (Client client = new Client(host.ready())) {
                ready += client.send("GET", "/ready", Map.of("Host", "a"), "", 1_000).status() == 200 ? 1 : 0;
                asked++;
            }
            Thread.sleep(1_000);
        }
        ending.set(true);
        long longest = 0;
        long last = 0;
        for (long at : served) {
            longest = Math.max(longest, at - last);
            last = Math.max(last, at);
        }
        longest = Math.max(longest, TRIAL_MILLIS - last);
        record.write("the host is " + (host.isAlive() ? "alive" : "gone") + "; ready in " + ready + " of " + asked
                + " questions");
        record.write(served.size() + " of " + tried.get() + " ordinary requests on new connections were answered; the"
                + " longest time in which none was: " + longest + " ms; " + CONTACT_MILLIS + " are allowed");
        return !host.isAlive() || (longest > CONTACT_MILLIS && ready == asked) ? 1 : 0;
    }

    private static void hold(Socket socket, Host host, AtomicInteger holding, AtomicBoolean ending) {
        try (socket) {
            socket.setReceiveBufferSize(4_096);
            int colon = host.endpoint().lastIndexOf(':');
            int port = Integer.parseInt(host.endpoint().substring(colon + 1));
            socket.connect(new InetSocketAddress(host.endpoint().substring(0, colon), port), 2_000);
            String request = "GET /no-such-route/a HTTP/1.1\r\nHost: " + Site.HOST_NAME + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            holding.incrementAndGet();
            while (!ending.get()) {
                pause(200);
            }
        } catch (IOException e) {
            // The host turned the connection away.
        }
    }

    private static long millisSince(long begin) {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
