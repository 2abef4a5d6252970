package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.port.WatchedTable.Row;

/** Decodes rows of a deployment's store into domain types. Each deployment has its own implementation. */
public interface Decoders {
    /**
     * Returns the routing version in the row, or empty if the row holds something else.
     *
     * @throws IllegalArgumentException if the row cannot be decoded
     */
    Optional<RoutingTable> routing(Row row);

    /**
     * Returns the zone that operators empty by the row, whatever its value, and take back by its removal, or empty if the row is
     * about something else.
     *
     * @throws IllegalArgumentException if the row names no zone
     */
    default Optional<AvailabilityZoneId> emptiedZone(Row row) {
        return Optional.empty();
    }

    /**
     * Returns for how much longer the target in the row is cold, or empty if the row does not state it.
     *
     * @throws IllegalArgumentException if the row states no time that is possible
     */
    default Optional<Duration> coldLeft(Row row) {
        return Optional.empty();
    }

    /**
     * Returns the target in the row.
     *
     * @throws IllegalArgumentException if the row cannot be decoded
     */
    FleetTarget target(Row row);
}
