package org.boragebarrow.decision.assign;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Detects unhealthy targets from the outcomes of attempts.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. A target that is unreachable or fails much of its work is
 * ejected for a time that doubles until a probe succeeds. Single failures eject no target, as some services fail a part
 * of their calls by design.
 */
final class TargetHealth {
    /** Number of outcomes that are kept; enough to distinguish a failure rate of 45 in 100 from 14 in 100. */
    private static final int WINDOW = 8;

    /** Failures within the window that eject a target. */
    private static final int FAILURE_LIMIT = 4;

    /** The first ejection time: the minimum time in which a target restarts. */
    private static final long FIRST_PAUSE_NANOS = 1_000_000_000L;

    /** Maximum ejection time; a recovered target is probed again within it. */
    private static final long LONGEST_PAUSE_NANOS = 8_000_000_000L;

    private final Deque<Boolean> failures = new ArrayDeque<>();
    private long pauseNanos = FIRST_PAUSE_NANOS;
    private long outUntil;
    private boolean out;

    /** Records the outcome of an attempt. */
    void record(Outcome outcome, long now) {
        // A refusal indicates load and a withdrawal is due to the caller; neither is evidence of health.
        if (outcome == Outcome.SUCCEEDED) {
            succeed();
        }
        // One timeout may be due to a long pass; all work of an unresponsive target times out.
        if (outcome == Outcome.FAILED || outcome == Outcome.SILENT) {
            fail(now);
        }
        if (outcome == Outcome.UNREACHABLE) {
            takeOut(now);
        }
    }

    private void succeed() {
        note(false);
        if (out) {
            out = false;
            failures.clear();
            pauseNanos = FIRST_PAUSE_NANOS;
        }
    }

    private void fail(long now) {
        note(true);
        long failed = failures.stream().filter(failure -> failure).count();
        if (out || failed >= FAILURE_LIMIT) {
            takeOut(now);
        }
    }

    private void note(boolean failure) {
        failures.addLast(failure);
        if (failures.size() > WINDOW) {
            failures.removeFirst();
        }
    }

    private void takeOut(long now) {
        if (out && now - outUntil < 0) {
            return;
        }
        if (out) {
            pauseNanos = Math.min(2 * pauseNanos, LONGEST_PAUSE_NANOS);
        }
        out = true;
        outUntil = now + pauseNanos;
    }

    /**
     * Returns whether the target can receive work while it has {@code held} requests: one at a time after an ejection.
     */
    boolean allows(long now, int held) {
        return !out || (now - outUntil >= 0 && held == 0);
    }

    boolean isOut() {
        return out;
    }
}
