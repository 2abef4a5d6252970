package org.boragebarrow.decision.member;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;
import org.boragebarrow.model.Incarnation;

/**
 * The hosts of this zone as this host sees them.
 *
 * @param live the live hosts, this one among them; suspected hosts count as live
 * @param unreachable hosts that are silent while this host cannot tell whether they or it itself is cut off
 * @param ended the highest ended incarnation of each host of any zone that ended lately
 * @param applied the last change in force at each live host, as last heard
 */
public record MemberView(
        ImmutableSortedMap<HostId, Member> live,
        ImmutableSet<HostId> unreachable,
        ImmutableMap<HostId, Incarnation> ended,
        ImmutableMap<HostId, Long> applied) {
    /** Returns the live hosts that may hold roles: all that are not leaving, or all if every one is. */
    public ImmutableSet<HostId> eligible() {
        ImmutableSet<HostId> staying = live.values().stream()
                .filter(member -> !member.leaving())
                .map(Member::host)
                .collect(ImmutableSet.toImmutableSet());
        return staying.isEmpty() ? live.keySet() : staying;
    }

    /** Returns whether the life is proven to be over. */
    public boolean isEnded(HostLife life) {
        Incarnation last = ended.get(life.host());
        return last != null && life.incarnation().compareTo(last) <= 0;
    }
}
