package org.boragebarrow.node.watch;

import java.util.function.Predicate;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Divides the rows of one table between two listeners by the prefix of their keys; confined to the event loop.
 *
 * <p>Outages are reported to the listener of the other rows only, so that each is logged once.
 */
public final class RowRouter implements TableFollower.Listener {
    private final String prefix;
    private final TableFollower.Listener prefixed;
    private final TableFollower.Listener others;

    /** Creates a router that passes rows whose keys start with the prefix to the first listener. */
    public RowRouter(String prefix, TableFollower.Listener prefixed, TableFollower.Listener others) {
        this.prefix = checkNotNull(prefix);
        this.prefixed = checkNotNull(prefixed);
        this.others = checkNotNull(others);
    }

    @Override
    public void onFullRead(VersionedRows rows) {
        prefixed.onFullRead(select(rows, this::isPrefixed));
        others.onFullRead(select(rows, row -> !isPrefixed(row)));
    }

    @Override
    public void onChanges(VersionedRows changes) {
        prefixed.onChanges(select(changes, this::isPrefixed));
        others.onChanges(select(changes, row -> !isPrefixed(row)));
    }

    @Override
    public void onUnavailable(String reason) {
        others.onUnavailable(reason);
    }

    @Override
    public void onAvailable() {
        others.onAvailable();
    }

    private boolean isPrefixed(Row row) {
        return row.key().startsWith(prefix);
    }

    private static VersionedRows select(VersionedRows rows, Predicate<Row> selected) {
        return new VersionedRows(
                rows.rows().stream().filter(selected).collect(ImmutableList.toImmutableList()), rows.position());
    }
}
