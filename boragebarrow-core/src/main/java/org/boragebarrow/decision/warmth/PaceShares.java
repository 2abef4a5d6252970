package org.boragebarrow.decision.warmth;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.placement.Rendezvous;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The part of a target's pace that one assigner deals out: the shares of the hosts that it serves. Immutable.
 *
 * <p>Each host has a share at each target, so that the shares of any assigners that serve different hosts add up to the pace
 * at most. A share is a whole number of requests a second, none for some of the hosts if there are many: smaller parts of all
 * hosts could meet in one second.
 */
final class PaceShares {
    /** The shares until the hosts are known. */
    static final PaceShares NONE = new PaceShares(ImmutableSet.of(), ImmutableSet.of());

    private static final String KEY_PREFIX = "pace/";

    private final ImmutableSet<HostId> registered;
    private final ImmutableSet<HostId> served;

    private PaceShares(ImmutableSet<HostId> registered, ImmutableSet<HostId> served) {
        this.registered = registered;
        this.served = served;
    }

    /** Returns the shares of the hosts served, which count as registered in any case. */
    static PaceShares of(ImmutableSet<HostId> registered, ImmutableSet<HostId> served) {
        ImmutableSet<HostId> all = ImmutableSet.<HostId>builder()
                .addAll(registered)
                .addAll(checkNotNull(served))
                .build();
        return new PaceShares(all, served);
    }

    /**
     * Returns the requests a second that this assigner may deal out of those that the target bears from all hosts: whole requests
     * for each host, except that one host has the only one if the target bears less than one.
     */
    double dealt(TargetId target, double pace) {
        if (served.isEmpty()) {
            return 0;
        }
        int requests = Math.max(1, (int) pace);
        int each = requests / registered.size();
        long extra = Rendezvous.rank(KEY_PREFIX + target, registered, requests % registered.size()).stream()
                .filter(served::contains)
                .count();
        return Math.min(pace, each * served.size() + extra);
    }
}
