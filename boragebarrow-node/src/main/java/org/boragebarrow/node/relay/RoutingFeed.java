package org.boragebarrow.node.relay;

import java.util.Optional;
import java.util.function.Consumer;

import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.decision.routing.RoutingTableHolder;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/** Applies the operator's configurations from the store; confined to the event loop. */
final class RoutingFeed extends StoreListener {
    private final Decoders decoders;
    private final RoutingTableHolder routing;
    private final Consumer<RoutingTable> onNewVersion;

    RoutingFeed(Decoders decoders, RoutingTableHolder routing, DecisionLog log, Consumer<RoutingTable> onNewVersion) {
        super(log, "routing");
        this.decoders = checkNotNull(decoders);
        this.routing = checkNotNull(routing);
        this.onNewVersion = checkNotNull(onNewVersion);
    }

    @Override
    public void onFullRead(VersionedRows snapshot) {
        onChanges(snapshot);
    }

    @Override
    public void onChanges(VersionedRows changes) {
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
            onNewVersion.accept(table);
        }
    }
}
