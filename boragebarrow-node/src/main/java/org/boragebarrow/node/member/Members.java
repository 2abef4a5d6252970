package org.boragebarrow.node.member;

import java.util.Optional;

import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.member.ZonesView;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;

/** This host's view of the other hosts. Thread-safe; each method returns a snapshot. */
public interface Members {
    /** Returns the current incarnation of this host. */
    HostIncarnation self();

    /** Returns this host's availability zone. */
    AvailabilityZoneId zone();

    /** Returns the view of the hosts of this zone. */
    MemberView members();

    /** Returns the view of the other zones. */
    ZonesView zones();

    /** Returns a host of any zone, if it is alive in this view. */
    Optional<Member> find(HostId host);

    /** Returns the host of a zone that holds a role, if the zone has a live host in this view. */
    Optional<Member> holder(AvailabilityZoneId zone, Role role);

    /** Returns whether this host holds a role of its zone. */
    default boolean holds(Role role) {
        return holder(zone(), role)
                .filter(member -> member.host().equals(self().host()))
                .isPresent();
    }
}
