import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the system, started with the command and the settings template of deploy/system.toml. */
final class Host implements AutoCloseable {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.0-9]+)\\}\\}");

    final String name;
    final String ip;
    final int frontPort;
    final int readyPort;
    private final Path repository;
    private final Path settings;
    private final Path output;
    private final Log log;
    private Process process;

    Host(Path repository, Path folder, Log log, String name, String zone, String ip, String store) throws IOException {
        this.repository = repository;
        this.log = log;
        this.name = name;
        this.ip = ip;
        this.frontPort = freePort(ip);
        this.readyPort = freePort(ip);
        this.settings = folder.resolve(name + ".ini");
        this.output = folder.resolve(name + ".log");
        Map<String, String> values = new TreeMap<>(Map.of(
                "node", name,
                "zone", zone,
                "ip", ip,
                "limits.cpu_share", "0.75",
                "limits.cores", "1",
                "listen.front", ip + ":" + frontPort,
                "listen.ready_address", ip + ":" + readyPort,
                "port_range.0", Integer.toString(freePort(ip)),
                "provider.address", store,
                "bounds.grace_s", "8"));
        values.putAll(Map.of("bounds.retry_ratio", "0.2", "bounds.retry_slack", "100", "bounds.retry_window_s", "10"));
        String template = Files.readString(repository.resolve("deploy/settings.ini"));
        Matcher matcher = PLACEHOLDER.matcher(template);
        Files.writeString(settings, matcher.replaceAll(match -> {
            String value = values.get(match.group(1));
            if (value == null) {
                throw new IllegalStateException("deploy/settings.ini names " + match.group() + ", which is not known");
            }
            return value;
        }));
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process; its output is appended to a file in the temporary folder. */
    void start() throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run");
        }
        List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
        words.set(0, repository.resolve(words.get(0)).toString());
        ProcessBuilder builder = new ProcessBuilder(words).directory(repository.toFile()).redirectErrorStream(true);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BORAGEBARROW_SETTINGS", settings.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
        process = builder.start();
        log.write("%s: started, process %d", name, process.pid());
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new java.net.InetSocketAddress(ip, readyPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(Http.bytes("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
            return Http.read(new java.io.BufferedInputStream(socket.getInputStream())).status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Waits until the host is ready; returns whether it is. */
    boolean awaitReady(int seconds) throws InterruptedException {
        for (long end = System.nanoTime() + seconds * 1_000_000_000L; System.nanoTime() < end; ) {
            if (isReady()) {
                log.write("%s: ready", name);
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends SIGTERM. */
    void terminate() {
        log.write("%s: SIGTERM", name);
        process.destroy();
    }

    /** Returns the peak of the resident memory in MB, or -1 if the process has ended. */
    long peakMegabytes() {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                if (line.startsWith("VmHWM:")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
                }
            }
        } catch (IOException e) {
            return -1;
        }
        return -1;
    }

    /** Copies the lines of the host's log that hold one of the words into the record. */
    int copyLines(String... words) throws IOException {
        int found = 0;
        try (BufferedReader lines = Files.newBufferedReader(output, java.nio.charset.StandardCharsets.ISO_8859_1)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                for (String word : words) {
                    if (line.contains(word)) {
                        found++;
                        if (found <= 60) {
                            log.write("%s: log: %s", name, line.length() > 300 ? line.substring(0, 300) : line);
                        }
                        break;
                    }
                }
            }
        }
        return found;
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
