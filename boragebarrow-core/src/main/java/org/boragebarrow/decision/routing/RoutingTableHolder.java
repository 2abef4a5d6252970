package org.boragebarrow.decision.routing;

import java.util.Optional;

import static com.google.common.base.Preconditions.checkNotNull;

/** Holds the routing table with the highest version seen so far. Thread-safe for one writer and many readers. */
public final class RoutingTableHolder {
    private volatile RoutingTable current;

    /** Replaces the current table if the given one has a higher version; returns whether it was replaced. */
    public boolean offer(RoutingTable table) {
        checkNotNull(table);
        if (current != null && table.version() <= current.version()) {
            return false;
        }
        current = table;
        return true;
    }

    /** Returns the table in effect, or empty before the first one was offered. */
    public Optional<RoutingTable> current() {
        return Optional.ofNullable(current);
    }
}
