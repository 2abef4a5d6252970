import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd of clients each sends one request in chunks with very many short fields behind the last chunk, stops just short of its end
 * and stays open, while requests of ordinary clients are in progress at sound workers.
 *
 * <p>With TROUBLE=0 there is no crowd.
 */
final class ManyTrailers {
    private static final int CROWD = 300;

    /** Fields of four bytes each, which together stay below max_header_bytes, 16,384. */
    private static final int FIELDS = 4_000;

    public static void main(String[] arguments) {
        Trial.play(arguments, ManyTrailers::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Ledgers ledgers = new Ledgers(site);
        site.configure(7, List.of(Ledgers.route()), Map.of(Ledgers.SERVICE, true));
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitInTouch();
        ledgers.start(host);
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
        int lost = ledgers.awaitLost();
        site.record.write("crowd: " + sent.get() + " requests were sent but for their last bytes");
        site.record.write("the host is " + (host.isAlive() ? "alive" : "gone, exit code " + host.exitCode()));
        return lost > 3 ? 1 : 0;
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
