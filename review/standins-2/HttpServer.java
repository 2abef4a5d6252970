import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server with one virtual thread for each connection, whose handlers write the bytes of their answers. */
final class HttpServer implements AutoCloseable {
    /** Handles one request; returns whether the connection is kept. */
    interface Handler {
        boolean handle(Request request, Connection connection) throws IOException, InterruptedException;
    }

    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String query(String name) {
            int query = target.indexOf('?');
            for (String pair : query < 0 ? new String[0] : target.substring(query + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }
    }

    /** An open connection of a caller. */
    record Connection(Socket socket, InputStream in, OutputStream out) {
        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            out.write(bytes.toByteArray());
            out.flush();
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Blocks until the caller closes the connection, or the time is over; returns whether it was closed. */
        boolean awaitClose(long millis) {
            try {
                socket.setSoTimeout((int) Math.max(1, millis));
                return in.read() < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            }
        }
    }

    private final ServerSocket server = new ServerSocket();
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    HttpServer(String address, Handler handler) throws IOException {
        this.handler = handler;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(address, 0), 512);
        Thread.ofVirtual().start(this::acceptAll);
    }

    String endpoint() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Connection connection =
                    new Connection(socket, new BufferedInputStream(socket.getInputStream()), socket.getOutputStream());
            boolean kept = true;
            while (kept) {
                Request request = read(connection.in());
                kept = request != null && handler.handle(request, connection);
            }
        } catch (IOException | InterruptedException e) {
            // The caller left, or the stand-in was closed.
        } finally {
            open.remove(socket);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            bytes.write(next);
            next = in.read();
        }
        return next < 0 && bytes.size() == 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = headers(in);
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        return body.length < length ? null : new Request(words[0], words[1], headers, body);
    }

    /** Closes all open connections; new ones are still accepted. */
    void closeConnections() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        closeConnections();
    }
}
