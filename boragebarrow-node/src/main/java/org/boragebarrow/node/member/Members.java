package org.boragebarrow.node.member;

import java.util.Optional;

import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.member.ZonesView;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;

/** What this host knows of the others. Thread-safe; each answer is one moment's view. */
public interface Members {
    /** Returns this life of this host. */
    HostLife self();

    /** Returns this host's availability zone. */
    AvailabilityZoneId zone();

    /** Returns the hosts of this zone. */
    MemberView members();

    /** Returns the other zones. */
    ZonesView zones();

    /** Returns a live host of any zone. */
    Optional<Member> find(HostId host);

    /** Returns the host of a zone that holds a role, if a live host of the zone is known. */
    Optional<Member> holder(AvailabilityZoneId zone, Role role);

    /** Returns whether this host holds a role of its zone. */
    default boolean holds(Role role) {
        return holder(zone(), role)
                .filter(member -> member.host().equals(self().host()))
                .isPresent();
    }
}
