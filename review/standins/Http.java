import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking sockets. */
final class Http {
    private Http() {}

    /** A message; {@code first} is its request line or status line, header names are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Receives the parts of a body as they arrive. */
    interface BodySink {
        void add(byte[] bytes) throws IOException;
    }

    /** Returns the next line without its end, or null at the end of the connection. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("the connection ended within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the next head, or null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads a body with a length or in chunks; a message with neither has none. */
    static void readBody(InputStream in, Message head, BodySink sink) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the connection ended between two chunks");
                }
                int length = Integer.parseInt(size.trim(), 16);
                byte[] chunk = in.readNBytes(length);
                if (chunk.length < length) {
                    throw new EOFException("the connection ended within a chunk");
                }
                readLine(in);
                if (length == 0) {
                    return;
                }
                sink.add(chunk);
            }
        }
        int left = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        byte[] part = new byte[8192];
        while (left > 0) {
            int read = in.read(part, 0, Math.min(left, part.length));
            if (read < 0) {
                throw new EOFException("the connection ended within the body");
            }
            left -= read;
            sink.add(java.util.Arrays.copyOf(part, read));
        }
    }

    /** Returns the next message, or null at the end of the connection. */
    static Message read(BufferedInputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        readBody(in, head, body::writeBytes);
        return new Message(head.first(), head.headers(), body.toByteArray());
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static void writeAnswer(OutputStream out, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.writeBytes(bytes("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n" + headers + "\r\n"));
        message.writeBytes(body);
        out.write(message.toByteArray());
        out.flush();
    }
}
