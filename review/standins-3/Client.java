import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** One client attempt on a connection of its own. */
final class Client {
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    static final String HOST = "ficu95.example";

    /** What came back; status 0 for a connection without an answer. */
    record Answer(int status, boolean complete, String retryAfter, boolean stamped, int events, long millis) {}

    private Client() {}

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static String head(String method, String path, String id, long deadlineMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
                + deadlineMs + "\r\nAuthorization: Bearer " + KEY + "\r\n" + more + "\r\n";
    }

    /** Sends a request without a body and reads its answer to its end. */
    static Answer call(String address, String head, long timeoutMs) {
        long start = System.nanoTime();
        int colon = address.lastIndexOf(':');
        int events = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
            socket.setSoTimeout((int) timeoutMs);
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            boolean stamped = !answer.header("x-server-stamp").isEmpty();
            boolean complete = false;
            try {
                if (answer.header("transfer-encoding").equals("chunked")) {
                    for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                        events += new String(chunk, StandardCharsets.US_ASCII).split("id: ", -1).length - 1;
                    }
                    complete = true;
                } else {
                    int length = Integer.parseInt(answer.header("content-length"));
                    complete = in.readNBytes(length).length == length;
                }
            } catch (IOException e) {
                complete = false;
            }
            return new Answer(answer.status(), complete, answer.header("retry-after"), stamped, events, millis(start));
        } catch (IOException e) {
            return new Answer(0, false, "", false, events, millis(start));
        }
    }

    private static long millis(long start) {
        return (System.nanoTime() - start) / 1_000_000;
    }
}
