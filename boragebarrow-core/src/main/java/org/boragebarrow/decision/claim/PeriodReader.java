package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.port.TableService.Row;

/** Caches the number of the current retention period, which is recorded in each claim. */
final class PeriodReader {
    static final long FIRST = 1;

    private static final long REFRESH_NANOS = Duration.ofMinutes(10).toNanos();
    private static final long RETRY_NANOS = Duration.ofMillis(100).toNanos();
    private static final long MAX_AGE_NANOS = Duration.ofHours(2).toNanos();

    private OptionalLong number = OptionalLong.empty();
    private long readNanos;
    private boolean asked;
    private long nextNanos;
    private long ownCall;
    private boolean pending;

    /** Returns whether a read should be sent. */
    boolean isDue(long nowNanos) {
        return !pending && (!asked || nowNanos - nextNanos >= 0);
    }

    void sent(long call, long nowNanos) {
        ownCall = call;
        pending = true;
        asked = true;
        nextNanos = nowNanos + REFRESH_NANOS;
    }

    /** Handles an answer if it belongs to the reader's call; returns whether it does. */
    boolean answer(long call, TableAnswer answer, long nowNanos) {
        if (!pending || call != ownCall) {
            return false;
        }
        pending = false;
        if (answer instanceof TableAnswer.Found found) {
            number = OptionalLong.of(Math.max(parse(found.row()), numberOrFirst()));
            readNanos = nowNanos;
        } else {
            nextNanos = nowNanos + RETRY_NANOS;
        }
        return true;
    }

    /** Returns whether the number was read recently enough to be recorded in a claim. */
    boolean isKnown(long nowNanos) {
        return number.isPresent() && nowNanos - readNanos < MAX_AGE_NANOS;
    }

    long numberOrFirst() {
        return number.orElse(FIRST);
    }

    static long parse(Optional<Row> row) {
        return row.map(found -> Long.parseLong(found.value())).orElse(FIRST);
    }
}
