package org.boragebarrow.peer.link;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkNotNull;

/** The identity that a host claims when it opens a link. */
public record PeerIdentity(HostIncarnation incarnation, AvailabilityZoneId zone) {
    public PeerIdentity {
        checkNotNull(incarnation);
        checkNotNull(zone);
    }

    String signedForm() {
        return incarnation + "@" + zone;
    }
}
