package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

/**
 * Increments the number of the retention period after it has been unchanged for the length of a period.
 *
 * <p>The time is measured only on the host's own monotonic clock, so that a wrong wall clock of a host cannot shorten
 * the retention window. The window becomes longer if the role moves from host to host.
 */
final class PeriodClock {
    static final Duration PERIOD = Duration.ofHours(1);

    private static final long POLL_NANOS = Duration.ofMinutes(5).toNanos();

    private Optional<Watch> watch = Optional.empty();
    private boolean started;
    private long nextNanos;
    private OptionalLong raisedTo = OptionalLong.empty();
    private long raising;

    boolean isDue(long nowNanos) {
        return !started || nowNanos - nextNanos >= 0;
    }

    TableCall read(long nowNanos) {
        started = true;
        nextNanos = nowNanos + POLL_NANOS;
        return new TableCall.Get(ClaimRows.PERIOD);
    }

    /** Handles the answer to the previous call and returns the write that follows from it, if any. */
    Optional<TableCall> answer(TableAnswer answer, long nowNanos) {
        if (answer instanceof TableAnswer.Found found) {
            return seen(found.row(), nowNanos);
        }
        if (answer instanceof TableAnswer.Finished finished && finished.result() instanceof TableService.Committed) {
            raisedTo = OptionalLong.of(raising);
        }
        return Optional.empty();
    }

    /**
     * Returns and clears the period number of the last increment by this clock that is known to have been committed.
     */
    OptionalLong takeRaised() {
        OptionalLong incremented = raisedTo;
        raisedTo = OptionalLong.empty();
        return incremented;
    }

    private Optional<TableCall> seen(Optional<Row> row, long nowNanos) {
        long version = row.map(Row::version).orElse(0L);
        if (watch.isEmpty() || watch.get().version < version) {
            watch = Optional.of(new Watch(version, nowNanos));
        }
        boolean unchanged =
                watch.get().version == version && nowNanos - watch.get().sinceNanos >= PERIOD.toNanos();
        if (version != 0 && !unchanged) {
            return Optional.empty();
        }
        raising = version == 0 ? PeriodReader.FIRST : PeriodReader.parse(row) + 1;
        return Optional.of(new TableCall.Commit(
                ImmutableList.of(new Condition(ClaimRows.PERIOD, version)),
                ImmutableList.of(Write.put(ClaimRows.PERIOD, Long.toString(raising)))));
    }

    private record Watch(long version, long sinceNanos) {}
}
