package org.boragebarrow.node.relay;

import java.util.Optional;
import java.util.function.LongSupplier;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.boragebarrow.decision.evacuation.EmptiedZones;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.routing.RoutingTableHolder;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/** Applies the operator's configurations and the zones that operators empty, from the store; confined to the event loop. */
final class RoutingFeed extends StoreListener {
    private final Decoders decoders;
    private final RoutingTableHolder routing;
    private final EmptiedZones emptied;
    private final LongSupplier nanos;
    private final Listener listener;
    private StorePosition readAt = StorePosition.START;
    private boolean loaded;

    /** Receives what the operators changed, after it has taken effect. */
    interface Listener {
        void onNewVersion(RoutingTable table);

        void onZonesChanged();
    }

    /**
     * Creates a feed.
     *
     * @param nanos supplies the monotonic time in nanoseconds
     */
    RoutingFeed(
            Decoders decoders,
            RoutingTableHolder routing,
            EmptiedZones emptied,
            DecisionLog log,
            LongSupplier nanos,
            Listener listener) {
        super(log, "routing");
        this.decoders = checkNotNull(decoders);
        this.routing = checkNotNull(routing);
        this.emptied = checkNotNull(emptied);
        this.nanos = checkNotNull(nanos);
        this.listener = checkNotNull(listener);
    }

    @Override
    public void onFullRead(VersionedRows snapshot) {
        ImmutableSet.Builder<AvailabilityZoneId> zones = ImmutableSet.builder();
        for (Row row : snapshot.rows()) {
            if (!row.removed()) {
                emptiedZone(row).ifPresent(zones::add);
            }
        }
        long now = nanos.getAsLong();
        boolean restored = loaded && !snapshot.position().isSameEra(readAt);
        if (restored) {
            logRestored(snapshot, zones.build());
        }
        readAt = snapshot.position();
        loaded = true;
        onZones(
                restored ? emptied.restore(zones.build(), now) : emptied.replace(zones.build(), now),
                snapshot.version());
        applyTables(snapshot);
    }

    private void logRestored(VersionedRows copy, ImmutableSet<AvailabilityZoneId> zones) {
        log().write(
                        RelayEvent.STORE_ERA,
                        "table",
                        "routing",
                        "from",
                        readAt,
                        "to",
                        copy.position(),
                        "rows",
                        copy.rows().size(),
                        "kept",
                        Sets.difference(emptied.zones(), zones).size());
    }

    @Override
    public void onChanges(VersionedRows changes) {
        readAt = changes.position();
        for (Row row : changes.rows()) {
            emptiedZone(row).ifPresent(zone -> applyZone(zone, row));
        }
        applyTables(changes);
    }

    private void applyZone(AvailabilityZoneId zone, Row row) {
        long now = nanos.getAsLong();
        onZones(row.removed() ? emptied.takeBack(zone, now) : emptied.empty(zone, now), row.version());
    }

    private void onZones(EmptiedZones.Change change, long rowVersion) {
        change.emptied().forEach(zone -> logZone(zone, "emptied", rowVersion));
        change.takenBack().forEach(zone -> logZone(zone, "taken back", rowVersion));
        if (!change.isEmpty()) {
            listener.onZonesChanged();
        }
    }

    private void logZone(AvailabilityZoneId zone, String state, long rowVersion) {
        log().write(RelayEvent.ZONE, "zone", zone, "state", state, "row_version", rowVersion);
    }

    /** Returns the zone that the row empties; a row whose key names no zone is ignored. */
    private Optional<AvailabilityZoneId> emptiedZone(Row row) {
        try {
            return decoders.emptiedZone(row);
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
            return Optional.empty();
        }
    }

    private void applyTables(VersionedRows changes) {
        for (Row row : changes.rows()) {
            if (!row.removed()) {
                decode(row).ifPresent(table -> applyTable(table, row));
            }
        }
    }

    /** Returns the configuration; a row that cannot be decoded leaves the current one in effect. */
    private Optional<RoutingTable> decode(Row row) {
        try {
            return decoders.routing(row);
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
            return Optional.empty();
        }
    }

    private void applyTable(RoutingTable table, Row row) {
        boolean newer = routing.offer(table);
        log().write(
                        RelayEvent.ROUTING,
                        "version",
                        table.version(),
                        "row_version",
                        row.version(),
                        "routes",
                        table.size(),
                        "bytes",
                        row.value().length,
                        "taken",
                        newer);
        if (newer) {
            listener.onNewVersion(table);
        }
    }
}
