import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** What the cases share: the record, the temporary folder and the exit code. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private volatile boolean ended;

    Case() throws IOException {
        folder = Files.createTempDirectory("review-3-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getenv("RECORD"))));
    }

    /** Runs the case and returns its exit code. */
    abstract int run() throws Exception;

    void note(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f  ", millis() / 1_000.0) + String.format(Locale.ROOT, format, arguments);
        synchronized (record) {
            if (!ended) {
                record.println(line);
                record.flush();
            }
        }
    }

    long millis() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    static void execute(Case test) {
        Thread.ofPlatform().daemon().start(() -> {
            try {
                Thread.sleep(115_000);
            } catch (InterruptedException e) {
                return;
            }
            test.note("the case took too long");
            System.exit(NOT_RUN);
        });
        int code;
        try {
            test.note("trouble: %s", test.trouble);
            code = test.run();
        } catch (Throwable e) {
            test.note("could not run: %s", e);
            e.printStackTrace();
            code = NOT_RUN;
        }
        test.note("exit %d: %s", code, List.of("the rule held", "the rule is broken", "the case could not run").get(code));
        test.ended = true;
        if (System.getenv("KEEP") == null) {
            test.delete();
        }
        System.exit(code);
    }

    private void delete() {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            note("could not delete %s", folder);
        }
    }
}
