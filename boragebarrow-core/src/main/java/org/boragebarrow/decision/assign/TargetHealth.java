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
    /** Number of latest outcomes that are kept; enough to distinguish a failure rate of 45 in 100 from 14 in 100. */
    private static final int WINDOW = 8;

    /** Failures within the window that eject a target. */
    private static final int FAILURE_LIMIT = 4;

    /** The first ejection time: the minimum time in which a target restarts. */
    private static final long BASE_EJECTION_NANOS = 1_000_000_000L;

    /** Maximum ejection time; a recovered target is probed again within it. */
    private static final long MAX_EJECTION_NANOS = 8_000_000_000L;

    private final Deque<Boolean> failures = new ArrayDeque<>();
    private long ejectionNanos = BASE_EJECTION_NANOS;
    private long ejectedUntil;
    private boolean ejected;

    /** Records the outcome of an attempt. */
    void record(Outcome outcome, long now) {
        // A refusal indicates load and a withdrawal is due to the caller; neither is evidence of health.
        if (outcome == Outcome.SUCCEEDED) {
            recordSuccess();
        }
        // One timeout may be due to a long pass; all work of an unresponsive target times out.
        if (outcome == Outcome.FAILED || outcome == Outcome.ABORTED || outcome == Outcome.SILENT) {
            recordFailure(now);
        }
        if (outcome == Outcome.UNREACHABLE) {
            eject(now);
        }
        if (outcome == Outcome.REPLACED) {
            // The incarnation has ended; its entry goes within the longest ejection.
            ejectionNanos = MAX_EJECTION_NANOS;
            eject(now);
        }
    }

    private void recordSuccess() {
        addOutcome(false);
        if (ejected) {
            ejected = false;
            failures.clear();
            ejectionNanos = BASE_EJECTION_NANOS;
        }
    }

    private void recordFailure(long now) {
        addOutcome(true);
        long failed = failures.stream().filter(failure -> failure).count();
        if (ejected || failed >= FAILURE_LIMIT) {
            eject(now);
        }
    }

    private void addOutcome(boolean failure) {
        failures.addLast(failure);
        if (failures.size() > WINDOW) {
            failures.removeFirst();
        }
    }

    private void eject(long now) {
        if (ejected && now - ejectedUntil < 0) {
            return;
        }
        if (ejected) {
            ejectionNanos = Math.min(2 * ejectionNanos, MAX_EJECTION_NANOS);
        }
        ejected = true;
        ejectedUntil = now + ejectionNanos;
    }

    /**
     * Returns whether the target can receive work while it has the given number of requests; after an ejection it
     * receives one at a time.
     */
    boolean allows(long now, int activeRequests) {
        return !ejected || (now - ejectedUntil >= 0 && activeRequests == 0);
    }

    boolean isEjected() {
        return ejected;
    }
}
