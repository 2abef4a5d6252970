package org.boragebarrow.decision.member;

/** The state of one other host of this zone; mutable. */
final class Peer {
    /** Stands for an event that has not occurred. */
    static final long NEVER = Long.MIN_VALUE;

    Member member;
    long applied;
    /** When a message of the host itself was last received. */
    long lastDirectNanos;
    /** When a third host last proved that the host is alive. */
    long lastIndirectNanos;
    /** When this host last sent a suspicion of it. */
    long lastSuspectNanos = NEVER;
    /** Whether it is unconfirmed, or unresponsive while this host cannot determine which of the two is partitioned. */
    boolean unreachable;
    /** Whether it is known only from other hosts, and no message from it was received. */
    boolean unconfirmed;
    /** When an unreachable host may be ended at the earliest. */
    long graceEndNanos = NEVER;

    Peer(Member member, long lastDirectNanos) {
        this.member = member;
        this.lastDirectNanos = lastDirectNanos;
        this.lastIndirectNanos = lastDirectNanos;
    }

    /** Returns the time since the last proof that the host is alive. */
    long nanosSinceContact(long now) {
        return now - Math.max(lastDirectNanos, lastIndirectNanos);
    }

    void markReachable() {
        unreachable = false;
        unconfirmed = false;
        graceEndNanos = NEVER;
    }

    /** Adds a time in which this host did not run to all timestamps. */
    void shiftTimestamps(long nanos) {
        lastDirectNanos += nanos;
        lastIndirectNanos += nanos;
        lastSuspectNanos += lastSuspectNanos == NEVER ? 0 : nanos;
        graceEndNanos += graceEndNanos == NEVER ? 0 : nanos;
    }
}
