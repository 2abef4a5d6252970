package org.boragebarrow.node.relay;

import java.io.PrintStream;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.base.CharMatcher;
import org.boragebarrow.node.ring.DutyRing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Writes one line for each decision, as {@code name=value} pairs. Thread-safe.
 *
 * <p>Never blocks the caller: lines are queued in a bounded ring, and lines that do not fit are counted and dropped.
 */
public final class DecisionLog implements AutoCloseable {
    /** Maximum number of queued lines; at 200 bytes each, they occupy about 200 kB. */
    private static final int CAPACITY = 1_024;

    /** Callers choose some values; the longest that hosts make themselves, lists of parts, are shorter. */
    private static final int MAX_VALUE_CHARACTERS = 2_048;

    private static final CharMatcher NEEDS_QUOTES =
            CharMatcher.inRange('!', '~').negate().or(CharMatcher.anyOf("\"\\")).precomputed();

    private final DutyRing<String> ring;
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;

    /** Starts a log that writes to the stream. */
    public DecisionLog(PrintStream out) {
        this.out = checkNotNull(out);
        this.ring = DutyRing.start("log", CAPACITY, out::println, (name, failure) -> dropped.incrementAndGet());
    }

    /**
     * Writes a line.
     *
     * @param pairs alternating names and values, beginning with a name
     */
    public void write(RelayEvent event, Object... pairs) {
        checkArgument(pairs.length % 2 == 0, "odd number of names and values: %s", pairs.length);
        StringBuilder line = new StringBuilder(160);
        line.append("event=BB").append(event.number()).append(' ').append("what=");
        line.append(event.name().toLowerCase(Locale.ROOT));
        for (int i = 0; i < pairs.length; i += 2) {
            line.append(' ').append(pairs[i]).append('=');
            appendValue(line, shorten(String.valueOf(pairs[i + 1])));
        }
        offer(line.toString());
    }

    /** Returns the number of lines dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    private void offer(String line) {
        if (!ring.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    private static String shorten(String value) {
        return value.length() <= MAX_VALUE_CHARACTERS ? value : value.substring(0, MAX_VALUE_CHARACTERS) + "...";
    }

    private static void appendValue(StringBuilder line, String value) {
        if (!value.isEmpty() && NEEDS_QUOTES.matchesNoneOf(value)) {
            line.append(value);
            return;
        }
        String quoted = value.replace("\\", "\\\\").replace("\"", "\\\"");
        line.append('"')
                .append(CharMatcher.javaIsoControl().replaceFrom(quoted, ' '))
                .append('"');
    }

    @Override
    public void close() {
        if (dropped.get() > 0) {
            write(RelayEvent.LINES_DROPPED, "lines", dropped.get());
        }
        ring.close();
        out.flush();
    }
}
