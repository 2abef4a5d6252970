package org.boragebarrow.decision.member;

/** What this host knows of one other host of its zone; mutable. */
final class Peer {
    /** Marks a time that never came. */
    static final long NEVER = Long.MIN_VALUE;

    Member member;
    long applied;
    /** When the host itself was last heard. */
    long heardNanos;
    /** When a third host last showed that the host is alive. */
    long vouchedNanos;
    /** When this host last asked others about it. */
    long askedNanos = NEVER;
    /** Whether it is silent while nobody can tell who is cut off, or was only named by others so far. */
    boolean unreachable;
    /** Whether it was never heard but only named by another host. */
    boolean introduced;
    /** When an unreachable host may be judged. */
    long graceNanos = NEVER;

    Peer(Member member, long heardNanos) {
        this.member = member;
        this.heardNanos = heardNanos;
        this.vouchedNanos = heardNanos;
    }

    long silence(long now) {
        return now - Math.max(heardNanos, vouchedNanos);
    }

    void reach() {
        unreachable = false;
        introduced = false;
        graceNanos = NEVER;
    }

    void shift(long nanos) {
        heardNanos += nanos;
        vouchedNanos += nanos;
        askedNanos += askedNanos == NEVER ? 0 : nanos;
        graceNanos += graceNanos == NEVER ? 0 : nanos;
    }
}
