package org.boragebarrow.node.relay;

import org.boragebarrow.node.watch.TableFollower;
import org.boragebarrow.port.WatchedTable.Row;

import static com.google.common.base.Preconditions.checkNotNull;

/** Logs outages of a table of the store and its unusable rows; confined to the event loop. */
public abstract class StoreListener implements TableFollower.Listener {
    private final DecisionLog log;
    private final String table;

    /**
     * Creates a listener.
     *
     * @param table the table's name in log lines
     */
    protected StoreListener(DecisionLog log, String table) {
        this.log = checkNotNull(log);
        this.table = checkNotNull(table);
    }

    /** Returns the log. */
    protected final DecisionLog log() {
        return log;
    }

    /** Logs that a row could not be decoded. */
    protected final void logUnusable(Row row, IllegalArgumentException reason) {
        log.write(RelayEvent.UNUSABLE, "table", table, "key", row.key(), "reason", reason.getMessage());
    }

    @Override
    public void onUnavailable(String reason) {
        log.write(RelayEvent.LOST, "dependency", "store", "table", table, "reason", reason);
    }

    @Override
    public void onAvailable() {
        log.write(RelayEvent.REGAINED, "dependency", "store", "table", table);
    }
}
