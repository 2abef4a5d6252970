package org.boragebarrow.decision.member;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkNotNull;

/** The identity of this host in the membership protocol, as set at its start. */
public record MemberIdentity(HostIncarnation incarnation, AvailabilityZoneId zone, Endpoint endpoint) {
    public MemberIdentity {
        checkNotNull(incarnation);
        checkNotNull(zone);
        checkNotNull(endpoint);
    }
}
