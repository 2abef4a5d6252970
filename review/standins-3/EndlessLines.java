import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One model worker of six answers with bytes that are no answer, without end; orders go to other workers, which are sound. */
final class EndlessLines extends Case {
    private static final int ENGINES = 6;
    private static final int ORDER_CLIENTS = 12;
    private static final int ORDER_TIMEOUT_MS = 800;
    private static final int ORDER_DEADLINE_MS = 1_500;

    /** An answer is due this much after the time limit. */
    private static final int SLACK_MS = 500;

    /** Fewer requests without an answer at the time limit say nothing. */
    private static final int LEAST = 8;

    private static final long RUN_MS = 20_000;

    private final Set<Hosts.Host> out = ConcurrentHashMap.newKeySet();
    private final AtomicInteger orders = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger missedProbes = new AtomicInteger();
    private volatile boolean over;

    EndlessLines() throws IOException {}

    public static void main(String[] arguments) throws IOException {
        execute(new EndlessLines());
    }

    @Override
    int run() throws Exception {
        Store store = new Store("127.0.0.1", 0);
        store.put("op", "config", Config.text(7, ORDER_TIMEOUT_MS));
        List<String> zones = List.of("nbi-a", "nbi-b", "nbi-c");
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new Engine(this, store, "i-" + i, Config.MODEL, zones.get(i % 3), "127.0.0.1", new Engine.Pace() {
                @Override
                public long first(Http.Message request) {
                    return 60;
                }

                @Override
                public int events(Http.Message request) {
                    return 20;
                }

                @Override
                public long gap(Http.Message request) {
                    return 40;
                }
            }));
        }
        for (int i = 0; i < 3; i++) {
            new Desk(this, store, "i-desk" + i, zones.get(i), "127.0.0.1", 86);
        }
        Hosts hosts = new Hosts(folder, store.address(), zones);
        for (int i = 0; i < 3; i++) {
            hosts.add("front-" + i, zones.get(i)).start();
        }
        hosts.awaitReady(30);
        note("three hosts are ready");
        Thread.sleep(3_000);
        for (Hosts.Host host : hosts.all()) {
            Thread.ofVirtual().start(() -> probe(host));
        }
        for (int i = 0; i < ORDER_CLIENTS; i++) {
            Hosts.Host host = hosts.all().get(i % 3);
            Thread.ofVirtual().start(() -> orderAgainAndAgain(host));
            Thread.sleep(80);
        }
        Thread.sleep(1_000);
        if (trouble) {
            engines.get(0).endless = true;
            note("%s answers without end from now on", engines.get(0).id);
        }
        long end = millis() + RUN_MS;
        for (int i = 0; millis() < end; i++) {
            Hosts.Host host = balance(hosts, i);
            Thread.ofVirtual().start(() -> stream(host));
            Thread.sleep(80);
        }
        over = true;
        Thread.sleep(2_000);
        boolean alive = hosts.all().stream().allMatch(Hosts.Host::isAlive);
        note("all processes run: %s; the balancer's probes were missed %d times", alive, missedProbes.get());
        note("%d orders; %d unanswered at their time limit of %d ms, of which %d had no answer %d ms later",
                orders.get(), unansweredAtTimeout.get(), ORDER_TIMEOUT_MS, unansweredLater.get(), SLACK_MS);
        boolean broken = unansweredAtTimeout.get() >= LEAST && unansweredLater.get() * 2 > unansweredAtTimeout.get();
        return broken ? BROKEN : HELD;
    }

    /** Asks once a second whether the host is ready, as the balancer does. */
    private void probe(Hosts.Host host) {
        int missed = 0;
        try {
            while (!over) {
                long start = System.nanoTime();
                if (host.isReady()) {
                    missed = 0;
                    out.remove(host);
                } else {
                    missed++;
                    missedProbes.incrementAndGet();
                    note("%s did not say that it is ready", host.name);
                    if (missed >= 2) {
                        out.add(host);
                    }
                }
                Thread.sleep(Math.max(0, 1_000 - (System.nanoTime() - start) / 1_000_000));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the host for a new connection: one in rotation, or any if none is. */
    private Hosts.Host balance(Hosts hosts, int client) {
        List<Hosts.Host> in = hosts.all().stream().filter(host -> !out.contains(host)).toList();
        List<Hosts.Host> usable = in.isEmpty() ? hosts.all() : in;
        return usable.get(client % usable.size());
    }

    private void stream(Hosts.Host host) {
        String id = Client.newId();
        note("stream %s is sent to %s", id, host.name);
        Client.Answer answer = Client.call(host.front(), Client.head("POST", Config.SHORT_PATH, id, 10_000,
                "X-Model: m\r\nX-Token-Usage: 4960,40\r\nX-Prompt-Prefix: 5c1e07a2:40," + id + ":4920\r\nContent-Length: 0\r\n"), 10_500);
        note("stream %s: %s", id, answer);
    }

    /** Sends an order a second on a connection that is kept, until a deadline ends it. */
    private void orderAgainAndAgain(Hosts.Host host) {
        while (!over) {
            try (Socket socket = new Socket()) {
                int colon = host.front().lastIndexOf(':');
                socket.connect(new InetSocketAddress(host.ip, Integer.parseInt(host.front().substring(colon + 1))), 1_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!over && order(host, socket, in)) {
                    Thread.sleep(1_000);
                }
            } catch (IOException e) {
                note("a connection to %s: %s", host.name, e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Sends an order and returns whether the connection is kept. */
    private boolean order(Hosts.Host host, Socket socket, InputStream in) throws IOException {
        String id = Client.newId();
        long start = System.nanoTime();
        orders.incrementAndGet();
        note("order %s is sent to %s", id, host.name);
        socket.getOutputStream().write(
                Client.head("POST", Config.UNSAFE_PATH, id, ORDER_DEADLINE_MS, "Content-Length: 0\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        String outcome;
        boolean kept = false;
        try {
            socket.setSoTimeout(ORDER_DEADLINE_MS);
            Http.Message answer = Http.read(in);
            outcome = Integer.toString(answer.status());
            kept = !answer.header("connection").equals("close");
        } catch (IOException e) {
            outcome = "no answer";
        }
        long elapsed = (System.nanoTime() - start) / 1_000_000;
        note("order %s: %s after %d ms", id, outcome, elapsed);
        if (elapsed > ORDER_TIMEOUT_MS) {
            unansweredAtTimeout.incrementAndGet();
        }
        if (elapsed > ORDER_TIMEOUT_MS + SLACK_MS) {
            unansweredLater.incrementAndGet();
        }
        return kept;
    }
}
