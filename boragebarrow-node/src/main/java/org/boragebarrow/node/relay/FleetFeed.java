package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/** Applies the store's table of targets to the fleet; confined to the event loop except {@link #isLoaded}. */
final class FleetFeed extends StoreListener {
    private final Decoders decoders;
    private final Fleet fleet;
    private final LongSupplier millis;
    private final Listener listener;
    private volatile boolean loaded;
    private StorePosition readAt = StorePosition.START;

    /** Receives what the targets' entries say, after the fleet has it. */
    interface Listener {
        /** Called after each change of the fleet. */
        void onFleetChanged();

        /**
         * Called after {@link #onFleetChanged} for an entry that states that its target is cold.
         *
         * @param left empty if the time that it states cannot be used
         */
        void onCold(TargetIncarnation target, Optional<Duration> left);
    }

    /**
     * Creates a feed.
     *
     * @param millis supplies the monotonic time in milliseconds
     */
    FleetFeed(Decoders decoders, Fleet fleet, DecisionLog log, LongSupplier millis, Listener listener) {
        super(log, "fleet");
        this.decoders = checkNotNull(decoders);
        this.fleet = checkNotNull(fleet);
        this.millis = checkNotNull(millis);
        this.listener = checkNotNull(listener);
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
        boolean restored = loaded && !snapshot.position().isSameEra(readAt);
        if (restored) {
            restore(targets.build(), snapshot);
        } else {
            fleet.replace(targets.build(), millis.getAsLong());
        }
        readAt = snapshot.position();
        loaded = true;
        log().write(RelayEvent.TARGET, "read", snapshot.rows().size(), "row_version", snapshot.version());
        listener.onFleetChanged();
        snapshot.rows().forEach(this::reportCold);
    }

    private void restore(ImmutableList<FleetTarget> copy, VersionedRows snapshot) {
        int ignored = fleet.restore(copy, millis.getAsLong());
        log().write(
                        RelayEvent.STORE_ERA,
                        "table",
                        "fleet",
                        "from",
                        readAt,
                        "to",
                        snapshot.position(),
                        "rows",
                        snapshot.rows().size(),
                        "ignored",
                        ignored,
                        "kept",
                        fleet.unconfirmedCount());
    }

    @Override
    public void onChanges(VersionedRows changes) {
        readAt = changes.position();
        changes.rows().forEach(this::applyRow);
        if (!changes.rows().isEmpty()) {
            listener.onFleetChanged();
            changes.rows().forEach(this::reportCold);
        }
    }

    private void reportCold(Row row) {
        Optional<FleetTarget> target = Optional.of(row)
                .filter(entry -> !entry.removed() && Ids.isValid(entry.key()))
                .flatMap(entry -> fleet.find(TargetId.of(entry.key())));
        if (target.isEmpty()) {
            return;
        }
        try {
            Optional<Duration> left = decoders.coldLeft(row).filter(time -> !time.isZero());
            if (left.isPresent()) {
                log().write(
                                RelayEvent.TARGET_COLD,
                                "target",
                                row.key(),
                                "left_ms",
                                left.get().toMillis(),
                                "row_version",
                                row.version());
                listener.onCold(target.get().incarnation(), left);
            }
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
            listener.onCold(target.get().incarnation(), Optional.empty());
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
        fleet.put(target, millis.getAsLong());
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
