import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client with one kept connection. */
final class Client implements AutoCloseable {
    /** How a request ended: with a whole answer, with a closed connection, or with nothing until the client gave up. */
    enum End { ANSWERED, CLOSED, SILENT }

    record Answer(End end, int status, Map<String, String> headers, String body, long millis) {
        boolean isSuccess() {
            return end == End.ANSWERED && status / 100 == 2;
        }
    }

    private final String endpoint;
    private Socket socket;
    private InputStream in;

    Client(String endpoint) {
        this.endpoint = endpoint;
    }

    private void connect(int timeoutMillis) throws IOException {
        if (socket != null && !socket.isClosed()) {
            return;
        }
        int colon = endpoint.lastIndexOf(':');
        socket = new Socket();
        socket.setTcpNoDelay(true);
        int port = Integer.parseInt(endpoint.substring(colon + 1));
        socket.connect(new InetSocketAddress(endpoint.substring(0, colon), port), timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its answer; never throws for what the host does. */
    Answer send(String method, String target, Map<String, String> headers, String body, long deadlineMillis) {
        long begin = System.nanoTime();
        try {
            connect(1_000);
            socket.setSoTimeout((int) deadlineMillis);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (!method.equals("GET")) {
                head.append("Content-Length: ").append(body.length()).append("\r\n");
            }
            head.append("\r\n").append(body);
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            return read(begin);
        } catch (SocketTimeoutException e) {
            close();
            return new Answer(End.SILENT, 0, Map.of(), "", millisSince(begin));
        } catch (IOException e) {
            close();
            return new Answer(End.CLOSED, 0, Map.of(), e.toString(), millisSince(begin));
        }
    }

    private Answer read(long begin) throws IOException {
        String first = HttpServer.line(in);
        if (first == null) {
            throw new IOException("the connection ended without an answer");
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        Map<String, String> headers = HttpServer.headers(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            readChunks(body);
        } else {
            int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("the connection ended within the answer " + status);
            }
            body.write(bytes);
        }
        if (headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
            close();
        }
        String text = body.toString(StandardCharsets.ISO_8859_1);
        return new Answer(End.ANSWERED, status, headers, text, millisSince(begin));
    }

    private void readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = HttpServer.line(in);
            if (size == null) {
                throw new IOException("the connection ended within chunks");
            }
            int length = Integer.parseInt(size, 16);
            byte[] bytes = in.readNBytes(length);
            HttpServer.line(in);
            if (bytes.length < length) {
                throw new IOException("the connection ended within a chunk");
            }
            if (length == 0) {
                return;
            }
            body.write(bytes);
        }
    }

    private static long millisSince(long begin) {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is gone in any case.
        }
    }
}
