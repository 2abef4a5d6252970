import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** The frame of a script: its folder, its record, its addresses, and the end of all that it started. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** One model service, as in the site files, and one plain service; the key k1 belongs to one tenant. */
    static final String CONFIGURATION = """
            {"version":7,"routes":[
            {"name":"r-draft","host":"desk.example","prefix":"/draft/","kind":"stream","timeout_ms":10000,"goal_ms":300,
             "priority":1,"service":"model","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":250},
            {"name":"r-ledger","host":"desk.example","prefix":"/ledger/","kind":"stream","timeout_ms":15000,"goal_ms":3000,
             "priority":1,"service":"model","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":1000},
            {"name":"r-book","host":"desk.example","prefix":"/book/","kind":"unsafe","timeout_ms":2000,"goal_ms":300,
             "priority":2,"service":"desk","max_attempts":1,"public":false},
            {"name":"r-stock","host":"desk.example","prefix":"/stock/","kind":"safe","timeout_ms":2000,"goal_ms":300,
             "priority":2,"service":"desk","max_attempts":2,"public":false}],
            "services":[
            {"name":"model","health_path":"/health","max_conns":334,"protocol":"h1","tls":false,"engine":{"slots":11,
             "kv_capacity":405000,"kv_token_bytes":163840,"link_mbps":400000.0,"stride":34,"models":[{"name":"m"}],
             "step_ms":1.31,"per_seq_ms":0.0013338,"context_per_k":0.00213,"read_per_s":154000.0,"pairs_per_m":0.162,
             "chunk":2048,"report_lag_ms":200.0,"delays":[],"usual":{"prompt":11319,"answer":1266},"hop_ms":0.1}},
            {"name":"desk","health_path":"/health","max_conns":48,"protocol":"h1","tls":false}],
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
            "tenants":[{"name":"hule930","api_keys":["k1"],"priority":1}]}
            """;

    final Path repository;
    final Path folder;
    final Path scratch;
    final Log log;
    final boolean trouble;
    final String net;
    final Store store;
    private final List<AutoCloseable> open = new ArrayList<>();

    /** Creates a frame; the arguments are the repository and the folder of the case. */
    Case(String... arguments) throws IOException {
        repository = Path.of(arguments[0]).toAbsolutePath();
        folder = Path.of(arguments[1]).toAbsolutePath();
        scratch = Files.createTempDirectory("review");
        log = new Log(folder.resolve("record.txt"));
        trouble = !"0".equals(System.getenv("TROUBLE"));
        long process = ProcessHandle.current().pid();
        net = "127." + (10 + process / 250 % 200) + "." + (1 + process % 250) + ".";
        store = new Store(net + 1, log);
        open.add(store);
        log.write("script: %s the disruption", trouble ? "with" : "without");
    }

    Host host(String name, String zone, int last) throws IOException {
        Host host = new Host(repository, scratch, log, name, zone, net + last, store.address());
        open.add(host);
        return host;
    }

    <W extends Worker> W add(W worker) {
        open.add(worker);
        return worker;
    }

    /** Plays the case; returns HELD or BROKEN. */
    abstract int play() throws Exception;

    /** Plays the case, ends all that it started, and exits. */
    final void run() {
        int result = NOT_RUN;
        // Also where the script itself is ended early.
        Runtime.getRuntime().addShutdownHook(new Thread(this::closeAll));
        try {
            result = play();
        } catch (Exception | Error e) {
            log.write("script: the case couldn't run: %s", e);
        } finally {
            closeAll();
            log.write("script: exit %d", result);
            log.close();
            deleteScratch();
        }
        System.exit(result);
    }

    private synchronized void closeAll() {
        for (int i = open.size() - 1; i >= 0; i--) {
            try {
                open.get(i).close();
            } catch (Exception e) {
                System.err.println(e);
            }
        }
        open.clear();
    }

    private void deleteScratch() {
        if (System.getenv("KEEP") != null) {
            System.out.println(scratch);
            return;
        }
        try (Stream<Path> files = Files.walk(scratch)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println(e);
        }
    }
}
