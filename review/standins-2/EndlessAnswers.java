import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker's answers go on without end until the caller closes, while requests of other clients are in progress at sound workers.
 *
 * <p>With TROUBLE=0 the worker ends its answers.
 */
final class EndlessAnswers {
    private static final int STREAMS = 4;
    private static final int PIECE_BYTES = 16 << 10;

    /** The rate at which the worker sends all its answers together, four fifths of the link of a machine. */
    private static final long BYTES_PER_SECOND = 100_000_000;

    public static void main(String[] arguments) {
        Trial.play(arguments, EndlessAnswers::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        Record record = site.record;
        HttpServer engine = site.own(new HttpServer(site.address(), (request, connection) -> {
            String id = request.header("X-Request-Id");
            record.write("run " + id + " at the worker whose answers have " + (trouble ? "no end" : "an end"));
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " + id
                    + "\r\nX-Server-Stamp: " + Site.stamp() + "\r\nContent-Type: text/event-stream\r\n\r\n");
            if (!trouble) {
                chunk(connection, "id: 1\ndata: x\n\n");
                connection.write("0\r\n\r\n");
                return true;
            }
            goOn(connection, id, record);
            return false;
        }));
        Ledgers ledgers = new Ledgers(site);
        site.register("i-eng1", "huvo11a", engine.endpoint(), "z1", 11, "ready", 1_700_000_000_000L);
        site.configure(
                7,
                List.of(Ledgers.route(), Site.route("r-stream", "/lohu930/", "stream", "huvo11a", 10_000, 2)),
                Map.of("huvo11a", true, Ledgers.SERVICE, true));
        Host host = site.host("front-z1-1", "z1", Map.of());
        host.start();
        host.awaitInTouch();
        ledgers.start(host);
        for (int i = 0; i < STREAMS; i++) {
            String id = "stream-" + i;
            Client client = site.own(new Client(host.endpoint()));
            Map<String, String> headers = Site.prompt(new HashMap<>(Site.headers(id, 10_000)), 4_960, 38, "e4402b7" + i);
            Thread.ofVirtual().start(() -> record.write("answer to " + id + ": "
                    + client.send("POST", "/lohu930/2f", headers, "prompt " + id, 11_000).toString().replace("\n", " ")));
        }
        int lost = ledgers.awaitLost();
        record.write("the host is " + (host.isAlive() ? "alive" : "gone, exit code " + host.exitCode()));
        return lost > 3 ? 1 : 0;
    }

    private static void goOn(HttpServer.Connection connection, String id, Record record) throws IOException, InterruptedException {
        String piece = "z".repeat(PIECE_BYTES);
        long begin = System.nanoTime();
        long sent = 0;
        try {
            while (true) {
                chunk(connection, piece);
                sent += PIECE_BYTES;
                long due = sent * 1_000_000_000L / (BYTES_PER_SECOND / STREAMS);
                Thread.sleep(Math.max(0, (due - (System.nanoTime() - begin)) / 1_000_000));
            }
        } catch (IOException e) {
            record.write("answer to " + id + ": the caller closed after " + sent + " bytes");
            throw e;
        }
    }

    private static void chunk(HttpServer.Connection connection, String text) throws IOException {
        connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}
