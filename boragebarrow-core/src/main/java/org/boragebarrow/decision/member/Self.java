package org.boragebarrow.decision.member;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostLife;

import static com.google.common.base.Preconditions.checkNotNull;

/** What a process knows of itself from its settings. */
public record Self(HostLife life, AvailabilityZoneId zone, Endpoint endpoint) {
    public Self {
        checkNotNull(life);
        checkNotNull(zone);
        checkNotNull(endpoint);
    }
}
