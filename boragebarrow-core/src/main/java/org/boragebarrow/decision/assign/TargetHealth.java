package org.boragebarrow.decision.assign;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What the results of attempts say about a target.
 *
 * <p>Not thread-safe. A target that cannot be reached or fails much of its work gets none for a pause,
 * which doubles until a probe succeeds. Single failures say little: some services fail a part of their calls by design.
 */
final class TargetHealth {
    /** Results that the share of failures is taken over; enough to tell 45 in 100 from 14 in 100. */
    private static final int WINDOW = 8;

    /** Failures within the window that take a target out. */
    private static final int FAILURE_LIMIT = 4;

    /** The first pause: as long as a restarted target takes at least. */
    private static final long FIRST_PAUSE_NANOS = 1_000_000_000L;

    /** The longest pause; a target that came back is found within it. */
    private static final long LONGEST_PAUSE_NANOS = 8_000_000_000L;

    private final Deque<Boolean> failures = new ArrayDeque<>();
    private long pauseNanos = FIRST_PAUSE_NANOS;
    private long outUntil;
    private boolean out;

    /** Takes the result of an attempt into account. */
    void record(Outcome outcome, long now) {
        // A refusal tells of load, a withdrawal of the caller.
        if (outcome == Outcome.SUCCEEDED) {
            succeed();
        }
        // One silence may be a long pass; a dark target silences all of its work.
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

    /** Returns whether the target gets work, given how much it holds: a target that was out is tried one by one. */
    boolean allows(long now, int held) {
        return !out || (now - outUntil >= 0 && held == 0);
    }

    boolean isOut() {
        return out;
    }
}
