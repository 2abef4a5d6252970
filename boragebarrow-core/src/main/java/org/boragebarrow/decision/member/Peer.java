package org.boragebarrow.decision.member;

/** The state of one other host of this zone; mutable. */
final class Peer {
    /** Stands for an event that has not occurred. */
    static final long NEVER = Long.MIN_VALUE;

    Member member;
    long applied;
    /** When a message of the host itself was last received. */
    long heardNanos;
    /** When a third host last proved that the host is alive. */
    long vouchedNanos;
    /** When this host last sent a suspicion of it. */
    long askedNanos = NEVER;
    /** Whether it is unresponsive while this host cannot determine which of the two is partitioned, or is unconfirmed. */
    boolean unreachable;
    /** Whether it is known only from other hosts, and no message of its own was received. */
    boolean introduced;
    /** When an unreachable host may be ended at the earliest. */
    long graceNanos = NEVER;

    Peer(Member member, long lastDirectNanos) {
        this.member = member;
        this.heardNanos = lastDirectNanos;
        this.vouchedNanos = lastDirectNanos;
    }

    /** Returns the time since the last proof that the host is alive. */
    long silence(long now) {
        return now - Math.max(heardNanos, vouchedNanos);
    }

    void reach() {
        unreachable = false;
        introduced = false;
        graceNanos = NEVER;
    }

    /** Adds a time in which this host did not run to all timestamps. */
    void shift(long nanos) {
        heardNanos += nanos;
        vouchedNanos += nanos;
        askedNanos += askedNanos == NEVER ? 0 : nanos;
        graceNanos += graceNanos == NEVER ? 0 : nanos;
    }
}
