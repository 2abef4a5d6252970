package org.boragebarrow.decision.member;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One incarnation of a host, as it is distributed to other hosts.
 *
 * @param refutations how often this incarnation has refuted a suspicion; only the host itself increases it
 * @param endpoint the address for connections from its peers
 * @param leaving whether the host drains and holds no roles any more
 */
public record Member(
        HostIncarnation incarnation, int refutations, AvailabilityZoneId zone, Endpoint endpoint, boolean leaving) {
    public Member {
        checkNotNull(incarnation);
        checkArgument(refutations >= 0, "refutations must not be negative: %s", refutations);
        checkNotNull(zone);
        checkNotNull(endpoint);
    }

    public HostId host() {
        return incarnation.host();
    }

    Member withIncarnation(HostIncarnation next) {
        return new Member(next, 0, zone, endpoint, leaving);
    }

    Member withRefutations(int count) {
        return new Member(incarnation, count, zone, endpoint, leaving);
    }

    Member withLeaving() {
        return new Member(incarnation, refutations, zone, endpoint, true);
    }
}
