package org.boragebarrow.decision.claim;

import java.time.Duration;

import org.boragebarrow.model.AttemptId;

/** The state of one attempt that a {@link ClaimKeeper} tracks; mutable. */
final class ClaimAttempt {
    static final long NO_CALL = 0;

    private static final long NONE_AWAITED = -1;
    private static final int MAX_DOUBLINGS = 6;
    private static final long FIRST_DELAY_NANOS = Duration.ofMillis(25).toNanos();

    final AttemptId id;
    final ClaimKey key;
    final String requestHash;
    final long deadlineNanos;
    Phase phase = Phase.WAITING;
    ClaimGoal goal;
    long call = NO_CALL;
    long retryNanos;
    private long highestAwaited = NONE_AWAITED;
    private boolean uncertain;
    private int failures;

    ClaimAttempt(ClaimKeeperEvent.Requested requested, ClaimGoal goal) {
        this.id = requested.attempt();
        this.key = requested.key();
        this.requestHash = requested.requestHash();
        this.deadlineNanos = requested.deadlineNanos();
        this.goal = goal;
    }

    void swapSent(long version) {
        highestAwaited = Math.max(highestAwaited, version);
    }

    long highestAwaited() {
        return highestAwaited;
    }

    /** Records that a swap may have taken effect or may still take effect. */
    void swapUnsure() {
        uncertain = true;
    }

    /**
     * Records a row that was read.
     *
     * <p>A claim of another attempt at a version above all versions that the swaps of this attempt expected means that
     * none of these swaps can take effect any more.
     */
    void seen(ClaimGoal.Seen row) {
        if (!row.claim().attempt().equals(id) && row.version() > highestAwaited) {
            uncertain = false;
        }
    }

    /** Returns whether the row may contain the attempt's claim now or later. */
    boolean mayHoldClaim() {
        return phase == Phase.HELD || uncertain || (call != NO_CALL && highestAwaited != NONE_AWAITED);
    }

    /** Schedules the next read of the row, with exponential backoff up to a maximum delay. */
    void retryLater(long nowNanos) {
        retryNanos = nowNanos + (FIRST_DELAY_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
    }

    /** The phases of an attempt. */
    enum Phase {
        /** The attempt is acquiring the claim. */
        WAITING,
        /** The attempt has the claim and may dispatch its call. */
        HELD,
        /** The attempt is releasing the claim or recording the outcome of its call. */
        ENDING
    }
}
