import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.locks.LockSupport;

/** A client: one request on a new connection, with the time that it waits. */
final class Client {
    private static final int PIECE = 64 << 10;
    private static final long PIECE_NANOS = PIECE * 8L;
    private static long linkFreeAt = System.nanoTime();

    private Client() {}

    /**
     * What a client saw.
     *
     * @param status the status, or 0 if the connection ended or the time was over before a head
     * @param complete whether the whole body was read
     * @param firstMillis the time to the first byte of the body, or -1
     */
    record Answer(String id, int status, boolean complete, long bytes, long millis, long firstMillis, boolean stamped, boolean keptOpen) {
        boolean isServed() {
            return status == 200 && complete && stamped;
        }
    }

    /** Sends a request on a new connection and reads the answer; {@code waitMs} is its X-Deadline-Ms. */
    static Answer send(Log log, Host host, String method, String path, String id, long waitMs, Map<String, String> headers, byte[] body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host.ip, host.frontPort), 1_000);
            return send(log, host, socket, method, path, id, waitMs, headers, body);
        } catch (IOException e) {
            log.write("client: %s at %s: not sent (%s)", id, host.name, e.getMessage());
            return new Answer(id, 0, false, 0, 0, -1, false, false);
        }
    }

    /** Writes no faster than a machine's link of 1,000 Mbit/s, which all clients share. */
    private static void write(Socket socket, byte[] bytes) throws IOException {
        for (int at = 0; at < bytes.length; at += PIECE) {
            long slot;
            synchronized (Client.class) {
                slot = Math.max(System.nanoTime(), linkFreeAt);
                linkFreeAt = slot + PIECE_NANOS;
            }
            LockSupport.parkNanos(slot - System.nanoTime());
            socket.getOutputStream().write(bytes, at, Math.min(PIECE, bytes.length - at));
        }
    }

    /** Sends a request on an open connection and reads the answer. */
    static Answer send(Log log, Host host, Socket socket, String method, String path, String id, long waitMs, Map<String, String> headers, byte[] body) {
        long startedAt = System.nanoTime();
        int status = 0;
        boolean complete = false;
        boolean stamped = false;
        boolean keptOpen = false;
        long[] first = {-1};
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        String end = "";
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) waitMs + 1_500);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: " + waitMs + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: ").append(body.length).append("\r\n");
            }
            ByteArrayOutputStream message = new ByteArrayOutputStream();
            message.writeBytes(Http.bytes(head + "\r\n"));
            message.writeBytes(body);
            write(socket, message.toByteArray());
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message answer = Http.readHead(in);
            if (answer != null) {
                status = answer.status();
                stamped = answer.header("x-server-stamp") != null;
                keptOpen = !"close".equalsIgnoreCase(answer.header("connection"));
                Http.readBody(in, answer, part -> {
                    if (first[0] < 0) {
                        first[0] = (System.nanoTime() - startedAt) / 1_000_000;
                    }
                    if (received.size() < 100_000) {
                        received.writeBytes(part);
                    }
                });
                complete = true;
            }
        } catch (IOException e) {
            end = " (" + e.getMessage() + ")";
        }
        long millis = (System.nanoTime() - startedAt) / 1_000_000;
        Answer answer = new Answer(id, status, complete, received.size(), millis, first[0], stamped, complete && keptOpen);
        log.write("client: %s at %s: status %d, %s, %d bytes after %d ms%s", id, host.name, status,
                complete ? "whole" : "not whole", received.size(), millis, end);
        return answer;
    }
}
