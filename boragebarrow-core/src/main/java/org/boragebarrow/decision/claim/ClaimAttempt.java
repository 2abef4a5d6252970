package org.boragebarrow.decision.claim;

import java.time.Duration;

import org.boragebarrow.model.AttemptId;

/** The state of one attempt that a {@link ClaimManager} tracks; mutable. */
final class ClaimAttempt {
    static final long NO_CALL = 0;

    private static final long NO_VERSION = -1;
    private static final int MAX_RETRY_DELAY_DOUBLINGS = 6;
    private static final long INITIAL_RETRY_DELAY_NANOS = Duration.ofMillis(25).toNanos();

    final AttemptId id;
    final ClaimKey key;
    final String requestHash;
    final long deadlineNanos;
    Phase phase = Phase.ACQUIRING;
    ClaimGoal goal;
    long pendingCall = NO_CALL;
    long retryNanos;
    private long highestExpectedVersion = NO_VERSION;
    private boolean swapUncertain;
    private int failures;

    ClaimAttempt(ClaimManagerEvent.Requested requested, ClaimGoal goal) {
        this.id = requested.attempt();
        this.key = requested.key();
        this.requestHash = requested.requestHash();
        this.deadlineNanos = requested.deadlineNanos();
        this.goal = goal;
    }

    void recordSwap(long version) {
        highestExpectedVersion = Math.max(highestExpectedVersion, version);
    }

    long highestExpectedVersion() {
        return highestExpectedVersion;
    }

    /** Records that a swap may have taken effect or may still take effect. */
    void markSwapUncertain() {
        swapUncertain = true;
    }

    /**
     * Records a row that was read.
     *
     * <p>A claim of another attempt at a version above all versions that the swaps of this attempt expected means that
     * none of these swaps can take effect any more.
     */
    void recordRead(ClaimGoal.VersionedClaim row) {
        if (!row.claim().attempt().equals(id) && row.version() > highestExpectedVersion) {
            swapUncertain = false;
        }
    }

    /** Returns whether the row may contain the attempt's claim now or later. */
    boolean mayHoldClaim() {
        return phase == Phase.HELD || swapUncertain || (pendingCall != NO_CALL && highestExpectedVersion != NO_VERSION);
    }

    /** Schedules the next read of the row, with exponential backoff up to a maximum delay. */
    void scheduleRetry(long nowNanos) {
        retryNanos = nowNanos + (INITIAL_RETRY_DELAY_NANOS << Math.min(failures, MAX_RETRY_DELAY_DOUBLINGS));
        failures++;
    }

    /** The phases of an attempt. */
    enum Phase {
        /** The attempt is acquiring the claim. */
        ACQUIRING,
        /** The attempt has the claim and may dispatch its call. */
        HELD,
        /** The attempt is releasing the claim or recording the outcome of its call. */
        ENDING
    }
}
