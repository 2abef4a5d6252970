package org.boragebarrow.decision.member;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;

/**
 * The state of the hosts of this zone, as determined by this host.
 *
 * @param live the live hosts, including this one and suspected ones
 * @param unreachable unresponsive hosts that are not ended, because this host cannot determine whether they or it
 *     itself is partitioned
 * @param ended the highest ended incarnation of each host of any zone, for incarnations that ended recently
 * @param applied the last change in effect at each live host, as last received
 */
public record MemberView(
        ImmutableSortedMap<HostId, Member> live,
        ImmutableSet<HostId> unreachable,
        ImmutableMap<HostId, IncarnationNumber> ended,
        ImmutableMap<HostId, Long> applied) {
    /** Returns the live hosts that may hold roles: all that are not leaving, or all if every host is leaving. */
    public ImmutableSet<HostId> eligible() {
        ImmutableSet<HostId> remaining = live.values().stream()
                .filter(member -> !member.leaving())
                .map(Member::host)
                .collect(ImmutableSet.toImmutableSet());
        return remaining.isEmpty() ? live.keySet() : remaining;
    }

    /** Returns whether the incarnation has ended. */
    public boolean isEnded(HostIncarnation incarnation) {
        IncarnationNumber highest = ended.get(incarnation.host());
        return highest != null && incarnation.number().compareTo(highest) <= 0;
    }
}
