import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A small HTTP/1.1 server and the reading of heads and bodies. */
final class Http {
    private Http() {}

    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Handles one request on its connection; the connection ends if this throws or closes it. */
    interface Handler {
        void handle(Message request, Socket connection) throws Exception;
    }

    static ServerSocket serve(String address, int port, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(address), port), 1_024);
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try {
                    Socket connection = server.accept();
                    connection.setTcpNoDelay(true);
                    Thread.ofVirtual().start(() -> requests(connection, handler));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    private static void requests(Socket connection, Handler handler) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream(), 4_096);
            while (!connection.isClosed()) {
                handler.handle(read(in), connection);
            }
        } catch (Exception e) {
            // The caller has closed the connection, or the handler ends it.
        }
    }

    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return new Message(head.first(), head.headers(), readBody(in, head));
    }

    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return new Message(first, headers, new byte[0]);
    }

    private static byte[] readBody(InputStream in, Message head) throws IOException {
        if (head.header("transfer-encoding").equals("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                body.write(chunk);
            }
            return body.toByteArray();
        }
        String length = head.header("content-length");
        int size = length.isEmpty() ? 0 : Integer.parseInt(length);
        byte[] body = in.readNBytes(size);
        if (body.length < size) {
            throw new EOFException("the body ends early");
        }
        return body;
    }

    /** Returns the next chunk; the last one is empty. */
    static byte[] readChunk(InputStream in) throws IOException {
        int size = Integer.parseInt(line(in), 16);
        byte[] chunk = in.readNBytes(size);
        if (chunk.length < size) {
            throw new EOFException("the chunk ends early");
        }
        line(in);
        return chunk;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection has ended");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    static void send(Socket connection, String status, Map<String, String> headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        OutputStream out = connection.getOutputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }
}
