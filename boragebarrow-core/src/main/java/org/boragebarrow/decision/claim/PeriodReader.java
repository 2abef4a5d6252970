package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.port.TableService.Row;

/** Caches the number of the current retention period, which is recorded in each claim. */
final class PeriodReader {
    static final long FIRST_PERIOD = 1;

    private static final long REFRESH_NANOS = Duration.ofMinutes(10).toNanos();
    private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAX_AGE_NANOS = Duration.ofHours(2).toNanos();

    private OptionalLong number = OptionalLong.empty();
    private long lastReadNanos;
    private boolean readSent;
    private long nextReadNanos;
    private long lastCallId;
    private boolean callPending;

    /** Returns whether a read should be sent. */
    boolean isDue(long nowNanos) {
        return !callPending && (!readSent || nowNanos - nextReadNanos >= 0);
    }

    void recordSent(long call, long nowNanos) {
        lastCallId = call;
        callPending = true;
        readSent = true;
        nextReadNanos = nowNanos + REFRESH_NANOS;
    }

    /** Handles an answer if it belongs to the reader's call; returns whether it does. */
    boolean handleAnswer(long call, TableAnswer answer, long nowNanos) {
        if (!callPending || call != lastCallId) {
            return false;
        }
        callPending = false;
        if (answer instanceof TableAnswer.RowRead found) {
            number = OptionalLong.of(Math.max(parse(found.row()), numberOrFirst()));
            lastReadNanos = nowNanos;
        } else {
            nextReadNanos = nowNanos + RETRY_NANOS;
        }
        return true;
    }

    /** Returns whether the number was read recently enough to be recorded in a claim. */
    boolean isFresh(long nowNanos) {
        return number.isPresent() && nowNanos - lastReadNanos < MAX_AGE_NANOS;
    }

    long numberOrFirst() {
        return number.orElse(FIRST_PERIOD);
    }

    static long parse(Optional<Row> row) {
        return row.map(found -> Long.parseLong(found.value())).orElse(FIRST_PERIOD);
    }
}
