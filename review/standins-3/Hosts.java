import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The system's processes, started with the command of the deploy file on loopback addresses. */
final class Hosts {
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final int GRACE_S = 8;

    /** All numbers have two digits. */
    private static final int FIRST_NUMBER = 11;

    private final String network = "127." + ThreadLocalRandom.current().nextInt(20, 250) + "."
            + ThreadLocalRandom.current().nextInt(1, 250) + ".";
    private final Path folder;
    private final String store;
    private final List<String> zones;
    private final Map<String, Host> hosts = new LinkedHashMap<>();

    /** One machine; its process may be started several times. */
    final class Host {
        final String name;
        final String zone;
        final String ip;
        private Process process;
        private int starts;

        /** The address of the store in this machine's settings. */
        String storeAddress = store;

        Host(String name, String zone, int number) {
            this.name = name;
            this.zone = zone;
            this.ip = network + number;
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".ini");
            Files.writeString(settings, settings(this));
            List<String> command = new ArrayList<>(Arrays.asList(command().split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command);
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("BORAGEBARROW_SETTINGS", settings.toString());
            starts++;
            File log = folder.resolve(name + "-" + starts + ".log").toFile();
            process = builder.directory(ROOT.toFile()).redirectErrorStream(true).redirectOutput(log).start();
        }

        String front() {
            return ip + ":8227";
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        int exitCode() {
            return process.exitValue();
        }

        long pid() {
            return process.pid();
        }

        /** SIGKILL. */
        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }

        /** Sends a signal by name to the process that this started. */
        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        Process process() {
            return process;
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, 8220), 1_000);
                socket.setSoTimeout(1_000);
                OutputStream out = socket.getOutputStream();
                out.write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                InputStream in = socket.getInputStream();
                return Http.read(in).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        String logs() throws IOException {
            StringBuilder all = new StringBuilder();
            for (int start = 1; start <= starts; start++) {
                all.append(Files.readString(folder.resolve(name + "-" + start + ".log")));
            }
            return all.toString();
        }
    }

    Hosts(Path folder, String store, List<String> zones) {
        this.folder = folder;
        this.store = store;
        this.zones = zones;
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Returns a loopback address of this deployment. */
    String address(int number) {
        return network + number;
    }

    Host add(String name, String zone) {
        Host host = new Host(name, zone, FIRST_NUMBER + hosts.size());
        hosts.put(name, host);
        return host;
    }

    List<Host> all() {
        return List.copyOf(hosts.values());
    }

    void killAll() {
        hosts.values().forEach(host -> {
            if (host.process() != null) {
                host.process().destroyForcibly();
            }
        });
    }

    void awaitReady(int seconds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (Host host : hosts.values()) {
            while (!host.isReady()) {
                if (System.nanoTime() - end > 0 || !host.isAlive()) {
                    throw new IllegalStateException(host.name + " is not ready");
                }
                Thread.sleep(50);
            }
        }
    }

    private static String command() throws IOException {
        for (String line : Files.readAllLines(ROOT.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring("run = ".length()).replace("\"", "").trim();
            }
        }
        throw new IOException("deploy/system.toml names no command");
    }

    /** Renders the deploy file's template with the figures of a small deployment. */
    private String settings(Host host) throws IOException {
        String template = Files.readString(ROOT.resolve("deploy/settings.ini"));
        StringBuilder regions = new StringBuilder();
        zones.forEach(zone -> regions.append(zone).append(" = nairobi\n"));
        String rendered = template.replaceAll(
                "(?s)\\{\\{#zones\\}\\}.*?\\{\\{/zones\\}\\}", regions.toString());
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node", host.name);
        values.put("zone", host.zone);
        values.put("ip", host.ip);
        values.put("limits.cpu_share", "0.75");
        values.put("limits.cores", "1");
        values.put("limits.max_fds", "4200");
        values.put("listen.front", host.front());
        values.put("listen.ready_address", host.ip + ":8220");
        values.put("port_range.0", "7340");
        values.put("provider.address", host.storeAddress);
        values.put("bounds.grace_s", Integer.toString(GRACE_S));
        values.put("bounds.retry_ratio", "0.2");
        values.put("bounds.retry_slack", "100");
        values.put("bounds.retry_window_s", "10");
        for (Map.Entry<String, String> value : values.entrySet()) {
            rendered = rendered.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (rendered.contains("{{")) {
            throw new IOException("deploy/settings.ini has an unknown placeholder: " + rendered);
        }
        return rendered;
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(address, 0));
            return socket.getLocalPort();
        }
    }
}
