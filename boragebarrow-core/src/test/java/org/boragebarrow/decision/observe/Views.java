package org.boragebarrow.decision.observe;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;

/** Static factory methods for member views. */
final class Views {
    static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("a");

    private Views() {}

    static HostIncarnation incarnation(String host, long number) {
        return HostIncarnation.of(HostId.of(host), IncarnationNumber.of(number));
    }

    /** Returns a view with these live hosts, each in incarnation 2, and these ended incarnations. */
    static MemberView view(ImmutableSet<String> live, HostIncarnation... ended) {
        ImmutableSortedMap.Builder<HostId, Member> members = ImmutableSortedMap.naturalOrder();
        for (String host : live) {
            members.put(
                    HostId.of(host), new Member(incarnation(host, 2), 0, ZONE, Endpoint.of("10.0.0.1", 7000), false));
        }
        ImmutableMap.Builder<HostId, IncarnationNumber> lastEnded = ImmutableMap.builder();
        for (HostIncarnation incarnation : ended) {
            lastEnded.put(incarnation.host(), incarnation.number());
        }
        return new MemberView(members.buildOrThrow(), ImmutableSet.of(), lastEnded.buildOrThrow(), ImmutableMap.of());
    }
}
