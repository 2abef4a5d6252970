package org.boragebarrow.decision.fleet;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One incarnation of a target.
 *
 * @param slots maximum number of concurrent requests
 * @param draining whether it accepts no new work
 * @param startedMillis the start of this incarnation, in Unix milliseconds; 0 if the entry does not state it
 * @param sequence the number of the entry among those of this incarnation, which rises with each; 0 if the entry does not state it
 */
public record FleetTarget(
        TargetId id,
        ServiceName service,
        Endpoint endpoint,
        AvailabilityZoneId zone,
        int slots,
        boolean draining,
        long startedMillis,
        long sequence) {
    public FleetTarget {
        checkNotNull(id);
        checkNotNull(service);
        checkNotNull(endpoint);
        checkNotNull(zone);
    }

    /** Creates a target whose entry states no number. */
    public FleetTarget(
            TargetId id,
            ServiceName service,
            Endpoint endpoint,
            AvailabilityZoneId zone,
            int slots,
            boolean draining,
            long startedMillis) {
        this(id, service, endpoint, zone, slots, draining, startedMillis, 0);
    }

    /** Returns the incarnation of the entry. */
    public TargetIncarnation incarnation() {
        return new TargetIncarnation(id, startedMillis);
    }

    /** Returns the entry as one that accepts no new work. */
    public FleetTarget asDraining() {
        return draining ? this : new FleetTarget(id, service, endpoint, zone, slots, true, startedMillis, sequence);
    }

    /** Returns whether the other entry is of the same incarnation of the same target. */
    public boolean isSameIncarnation(FleetTarget other) {
        return id.equals(other.id) && endpoint.equals(other.endpoint) && startedMillis == other.startedMillis;
    }
}
