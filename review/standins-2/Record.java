import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: one line for each thing that was sent, answered or run. */
final class Record implements AutoCloseable {
    private final PrintStream out;
    private final long begin = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintStream(Files.newOutputStream(file), true);
    }

    synchronized void write(String line) {
        out.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - begin) / 1e9, line);
    }

    @Override
    public void close() {
        out.close();
    }
}
