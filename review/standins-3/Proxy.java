import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards connections to one address; open ones can fall silent for good, without a reset, while new ones work. */
final class Proxy {
    private static final int PROBE_MS = 1_000;

    private static final class Connection {
        volatile boolean silent;
        volatile Runnable end;
        volatile long lastBytesAt = System.nanoTime();
    }

    private final Set<Connection> open = ConcurrentHashMap.newKeySet();

    Proxy(String listen, String target, int port) throws IOException {
        this(listen, port, target, port);
    }

    Proxy(String listen, int listenPort, String target, int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(listen), listenPort), 256);
        Thread.ofVirtual().start(() -> {
            while (true) {
                try {
                    Socket from = server.accept();
                    Thread.ofVirtual().start(() -> connect(from, target, port));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void connect(Socket from, String target, int port) {
        Socket to = new Socket();
        try {
            to.connect(new InetSocketAddress(target, port), 1_000);
            from.setTcpNoDelay(true);
            to.setTcpNoDelay(true);
        } catch (IOException e) {
            close(from);
            return;
        }
        Connection connection = new Connection();
        connection.end = () -> {
            close(from);
            close(to);
        };
        open.add(connection);
        Thread.ofVirtual().start(() -> forward(connection, from, to));
        Thread.ofVirtual().start(() -> forward(connection, to, from));
    }

    private void forward(Connection connection, Socket from, Socket to) {
        byte[] buffer = new byte[16 << 10];
        try {
            InputStream in = from.getInputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (connection.silent) {
                    return;
                }
                connection.lastBytesAt = System.nanoTime();
                to.getOutputStream().write(buffer, 0, read);
            }
        } catch (IOException e) {
            // The end of either side ends the other one, unless the connection is silent.
        }
        if (!connection.silent) {
            open.remove(connection);
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    /** Makes all open connections silent and returns their number. */
    int silence() {
        open.forEach(connection -> connection.silent = true);
        return open.size();
    }

    /**
     * Makes all open connections silent, and ends each of them when the keep-alive of its caller would, which does not notice a
     * proxy: it probes once a second without bytes, and gives up a second after the second probe without an answer.
     */
    int silenceUntilKeepAlive() {
        for (Connection connection : open) {
            connection.silent = true;
            long idle = (System.nanoTime() - connection.lastBytesAt) / 1_000_000;
            long left = 3 * PROBE_MS - idle % PROBE_MS;
            Thread.ofVirtual().start(() -> {
                try {
                    Thread.sleep(left);
                } catch (InterruptedException e) {
                    return;
                }
                connection.end.run();
            });
        }
        return open.size();
    }
}
