package org.boragebarrow.node.relay;

import java.util.function.LongSupplier;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/** Applies the store's table of targets to the fleet; confined to the event loop except {@link #isLoaded}. */
final class FleetFeed extends StoreListener {
    private final Decoders decoders;
    private final Fleet fleet;
    private final LongSupplier millis;
    private final Runnable onChange;
    private volatile boolean loaded;

    /**
     * Creates a feed.
     *
     * @param millis supplies the monotonic time in milliseconds
     * @param onChange runs after each change of the fleet
     */
    FleetFeed(Decoders decoders, Fleet fleet, DecisionLog log, LongSupplier millis, Runnable onChange) {
        super(log, "fleet");
        this.decoders = checkNotNull(decoders);
        this.fleet = checkNotNull(fleet);
        this.millis = checkNotNull(millis);
        this.onChange = checkNotNull(onChange);
    }

    /** Returns whether the targets have been read at least once. */
    boolean isLoaded() {
        return loaded;
    }

    @Override
    public void onFullRead(VersionedRows snapshot) {
        ImmutableList.Builder<FleetTarget> targets = ImmutableList.builder();
        for (Row row : snapshot.rows()) {
            try {
                targets.add(decoders.target(row));
            } catch (IllegalArgumentException e) {
                logUnusable(row, e);
            }
        }
        fleet.replace(targets.build(), millis.getAsLong());
        loaded = true;
        log().write(RelayEvent.TARGET, "read", snapshot.rows().size(), "row_version", snapshot.version());
        onChange.run();
    }

    @Override
    public void onChanges(VersionedRows changes) {
        changes.rows().forEach(this::applyRow);
        if (!changes.rows().isEmpty()) {
            onChange.run();
        }
    }

    private void applyRow(Row row) {
        if (row.removed()) {
            log().write(RelayEvent.TARGET, "target", row.key(), "state", "removed", "row_version", row.version());
            remove(row);
            return;
        }
        try {
            put(decoders.target(row), row);
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
            remove(row);
        }
    }

    private void put(FleetTarget target, Row row) {
        log().write(
                        RelayEvent.TARGET,
                        "target",
                        target.id(),
                        "at",
                        target.endpoint(),
                        "service",
                        target.service(),
                        "state",
                        target.draining() ? "draining" : "ready",
                        "row_version",
                        row.version());
        fleet.put(target);
    }

    private void remove(Row row) {
        if (Ids.isValid(row.key())) {
            fleet.remove(TargetId.of(row.key()), millis.getAsLong());
        }
    }

    @Override
    public void onUnavailable(String reason) {
        fleet.onTableUnavailable();
        super.onUnavailable(reason);
    }

    @Override
    public void onAvailable() {
        fleet.onTableAvailable(millis.getAsLong());
        super.onAvailable();
    }
}
