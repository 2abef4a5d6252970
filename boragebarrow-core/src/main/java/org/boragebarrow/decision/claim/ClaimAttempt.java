package org.boragebarrow.decision.claim;

import java.time.Duration;

import org.boragebarrow.model.AttemptId;

/** One attempt that a {@link ClaimKeeper} follows. */
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

    /** Notes that a swap may have taken effect or may still do so. */
    void swapUnsure() {
        uncertain = true;
    }

    /** Notes what the row showed: another attempt's claim beyond all versions that swaps waited for settles them. */
    void seen(ClaimGoal.Seen row) {
        if (!row.claim().attempt().equals(id) && row.version() > highestAwaited) {
            uncertain = false;
        }
    }

    /** Returns whether the row may hold the attempt's claim now or later. */
    boolean mayHoldClaim() {
        return phase == Phase.HELD || uncertain || (call != NO_CALL && highestAwaited != NONE_AWAITED);
    }

    /** Sets the next try, after a delay that doubles up to a bound. */
    void retryLater(long nowNanos) {
        retryNanos = nowNanos + (FIRST_DELAY_NANOS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
    }

    /** Where an attempt stands. */
    enum Phase {
        /** It wants the claim. */
        WAITING,
        /** It has the claim and may dispatch. */
        HELD,
        /** It gives the claim up or records the outcome. */
        ENDING
    }
}
