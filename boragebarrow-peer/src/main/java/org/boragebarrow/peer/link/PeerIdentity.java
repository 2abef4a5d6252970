package org.boragebarrow.peer.link;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkNotNull;

/** The identity that a host claims when it opens a link. */
public record PeerIdentity(HostIncarnation life, AvailabilityZoneId zone) {
    public PeerIdentity {
        checkNotNull(life);
        checkNotNull(zone);
    }

    String signedForm() {
        return life + "@" + zone;
    }
}
