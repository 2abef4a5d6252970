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
    static final Duration PERIOD_LENGTH = Duration.ofHours(1);

    private static final long POLL_NANOS = Duration.ofMinutes(5).toNanos();

    private Optional<Observation> lastObservation = Optional.empty();
    private boolean started;
    private long nextReadNanos;
    private OptionalLong incrementedTo = OptionalLong.empty();
    private long pendingNumber;

    boolean isDue(long nowNanos) {
        return !started || nowNanos - nextReadNanos >= 0;
    }

    TableCall read(long nowNanos) {
        started = true;
        nextReadNanos = nowNanos + POLL_NANOS;
        return new TableCall.Get(ClaimRows.PERIOD_KEY);
    }

    /** Handles the answer to the previous call and returns the write that follows from it, if any. */
    Optional<TableCall> handleAnswer(TableAnswer answer, long nowNanos) {
        if (answer instanceof TableAnswer.RowRead found) {
            return handleRow(found.row(), nowNanos);
        }
        if (answer instanceof TableAnswer.CommitFinished finished
                && finished.result() instanceof TableService.Committed) {
            incrementedTo = OptionalLong.of(pendingNumber);
        }
        return Optional.empty();
    }

    /** Returns and clears the period number of the last increment by this clock that is known to be committed. */
    OptionalLong pollIncremented() {
        OptionalLong incremented = incrementedTo;
        incrementedTo = OptionalLong.empty();
        return incremented;
    }

    private Optional<TableCall> handleRow(Optional<Row> row, long nowNanos) {
        long version = row.map(Row::version).orElse(0L);
        if (lastObservation.isEmpty() || lastObservation.get().version < version) {
            lastObservation = Optional.of(new Observation(version, nowNanos));
        }
        boolean unchanged = lastObservation.get().version == version
                && nowNanos - lastObservation.get().sinceNanos >= PERIOD_LENGTH.toNanos();
        if (version != 0 && !unchanged) {
            return Optional.empty();
        }
        pendingNumber = version == 0 ? PeriodReader.FIRST_PERIOD : PeriodReader.parse(row) + 1;
        return Optional.of(new TableCall.Commit(
                ImmutableList.of(new Condition(ClaimRows.PERIOD_KEY, version)),
                ImmutableList.of(Write.put(ClaimRows.PERIOD_KEY, Long.toString(pendingNumber)))));
    }

    private record Observation(long version, long sinceNanos) {}
}
