import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: what was sent, answered and run, with the seconds since the start of the script. */
final class Log implements AutoCloseable {
    private static final double NANOS = 1e9;
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Log(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / NANOS;
    }

    synchronized void write(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f ", seconds());
        out.printf(Locale.ROOT, format, values);
        out.println();
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
