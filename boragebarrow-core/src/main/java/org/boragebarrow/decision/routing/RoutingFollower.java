package org.boragebarrow.decision.routing;

import java.util.Optional;

import static com.google.common.base.Preconditions.checkNotNull;

/** Holds the newest version seen and never goes back. Thread-safe for one writer and many readers. */
public final class RoutingFollower {
    private volatile RoutingTable current;

    /** Takes the version over if it is newer than all before; returns whether it did. */
    public boolean offer(RoutingTable table) {
        checkNotNull(table);
        if (current != null && table.version() <= current.version()) {
            return false;
        }
        current = table;
        return true;
    }

    /** Returns the version in force, or empty before the first one was read. */
    public Optional<RoutingTable> current() {
        return Optional.ofNullable(current);
    }
}
