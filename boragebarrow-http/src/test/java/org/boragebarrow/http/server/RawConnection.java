package org.boragebarrow.http.server;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.boragebarrow.model.Endpoint;

/** A client connection that sends the given bytes unchanged. */
final class RawConnection implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int BUFFER_BYTES = 64 << 10;

    private final Socket socket;

    RawConnection(Endpoint endpoint) throws IOException {
        socket = new Socket(endpoint.address(), endpoint.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
    }

    RawConnection send(String bytes) throws IOException {
        return send(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    RawConnection send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        return this;
    }

    boolean hasInput() throws IOException {
        return socket.getInputStream().available() > 0;
    }

    void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Reads until the bytes read end with the given text. */
    String readUntil(String end) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        while (!read.toString(StandardCharsets.ISO_8859_1).endsWith(end)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("closed after " + read);
            }
            read.write(next);
        }
        return read.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the number of bytes. */
    String read(int bytes) throws IOException {
        byte[] read = socket.getInputStream().readNBytes(bytes);
        if (read.length < bytes) {
            throw new IOException("closed after " + read.length + " of " + bytes + " bytes");
        }
        return new String(read, StandardCharsets.ISO_8859_1);
    }

    /** Reads and discards the available bytes, waiting for at least one; returns their number, or -1 at the end. */
    int skip() throws IOException {
        return socket.getInputStream().read(new byte[BUFFER_BYTES]);
    }

    /** Reads until the server closes the connection. */
    String readUntilClosed() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
