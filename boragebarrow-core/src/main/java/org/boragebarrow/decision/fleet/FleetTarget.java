package org.boragebarrow.decision.fleet;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One life of a target.
 *
 * @param slots requests that it works on at once
 * @param draining whether it takes no new work
 * @param startedMillis when this life began, in Unix milliseconds; 0 where it is not told
 */
public record FleetTarget(
        TargetId id,
        ServiceName service,
        Endpoint endpoint,
        AvailabilityZoneId zone,
        int slots,
        boolean draining,
        long startedMillis) {
    public FleetTarget {
        checkNotNull(id);
        checkNotNull(service);
        checkNotNull(endpoint);
        checkNotNull(zone);
    }

    /** Returns whether the other one is the same life of the same target. */
    public boolean isSameLife(FleetTarget other) {
        return id.equals(other.id) && endpoint.equals(other.endpoint) && startedMillis == other.startedMillis;
    }
}
