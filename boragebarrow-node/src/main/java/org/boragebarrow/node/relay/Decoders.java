package org.boragebarrow.node.relay;

import java.util.Optional;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.port.WatchedTable.Row;

/** Reads what a deployment's store holds into the project's types. */
public interface Decoders {
    /**
     * Returns the routing version that the row holds, or empty if the row is another one.
     *
     * @throws IllegalArgumentException if the row cannot be understood
     */
    Optional<RoutingTable> routing(Row row);

    /**
     * Returns the target that the row describes.
     *
     * @throws IllegalArgumentException if the row cannot be understood
     */
    FleetTarget target(Row row);
}
