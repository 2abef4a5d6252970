import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the system, started with the command and the settings template of the deploy file. */
final class Host implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    private static final long CONTACT_MILLIS = 3_000;
    private static final long READY_MILLIS = 30_000;

    private final Path root;
    private final String name;
    private final String front;
    private final String ready;
    private final Path settings;
    private final Path log;
    private Process process;
    private long startedAt;

    /**
     * Creates a host that is not started yet.
     *
     * @param values the settings of the platform, by their full names, for what differs from a small deployment
     */
    Host(Path root, Path folder, String name, String zone, String ip, String store, Map<String, String> values)
            throws IOException {
        this.root = root;
        this.name = name;
        this.front = ip + ":" + freePort(ip);
        this.ready = ip + ":" + freePort(ip);
        this.settings = folder.resolve(name + ".settings");
        this.log = folder.resolve(name + ".log");
        String text = Files.readString(root.resolve("deploy/settings.ini"));
        StringBuilder zones = new StringBuilder();
        for (String each : List.of("z1", "z2", "z3")) {
            zones.append(each).append(" = r1\n");
        }
        text = text.replaceAll("(?s)\\{\\{#zones\\}\\}.*\\{\\{/zones\\}\\}", zones.toString());
        Map<String, String> defaults = new java.util.HashMap<>(Map.of(
                "node", name,
                "zone", zone,
                "ip", ip,
                "limits.cpu_share", "0.75",
                "limits.cores", "1",
                "limits.max_fds", "4200",
                "listen.front", front,
                "listen.ready_address", ready,
                "port_range.0", Integer.toString(freePort(ip)),
                "provider.address", store));
        defaults.putAll(Map.of(
                "bounds.grace_s", "8",
                "bounds.retry_ratio", "0.2",
                "bounds.retry_slack", "100",
                "bounds.retry_window_s", "10"));
        defaults.putAll(values);
        for (Map.Entry<String, String> value : defaults.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("deploy/settings.ini has a placeholder that the case does not know: " + text);
        }
        Files.writeString(settings, text);
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no line that begins with run");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BORAGEBARROW_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process started = builder.start();
        startedAt = System.nanoTime();
        process = started;
        // Also where the case is ended from outside.
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    String endpoint() {
        return front;
    }

    String ready() {
        return ready;
    }

    String name() {
        return name;
    }

    Path log() {
        return log;
    }

    /** Waits until the host says that it is ready. */
    void awaitReady(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end && process.isAlive()) {
            try (Client client = new Client(ready)) {
                if (client.send("GET", "/ready", Map.of("Host", "a"), "", 1_000).status() == 200) {
                    return;
                }
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " is not ready after " + millis + " ms; see " + log);
    }

    /** Waits until the host is ready and has run for {@code contact_ms}, so that it is in touch. */
    void awaitInTouch() throws IOException, InterruptedException {
        awaitReady(READY_MILLIS);
        Thread.sleep(Math.max(0, CONTACT_MILLIS + 500 - (System.nanoTime() - startedAt) / 1_000_000));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal to the process. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
