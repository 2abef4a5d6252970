package org.boragebarrow.node.assign;

import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableMap;
import io.netty.channel.EventLoop;
import org.boragebarrow.model.HostId;
import org.boragebarrow.node.relay.DecisionLog;
import org.boragebarrow.node.relay.RelayEvent;
import org.boragebarrow.node.relay.StoreListener;
import org.boragebarrow.peer.link.PeerKey;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The hosts of the deployment and the key of their links, as stored in the platform's store.
 *
 * <p>Confined to the event loop. A host that starts again writes its row only if it is to be found elsewhere, as each
 * change of the table is sent to all hosts. The key is written once, by the first host that finds none. The outcome of a write is
 * read from the table, so a write whose answer is lost needs no special handling.
 */
final class HostDirectory extends StoreListener {
    private static final String KEY_ROW = "key";
    private static final String HOST_ROW_PREFIX = "host/";
    private static final int KEY_BYTES = 32;

    /** Time after which a write that has not appeared in the table is repeated. */
    private static final long WRITE_RETRY_MILLIS = 3_000;

    /** Receives the content of the table; called on the event loop. */
    interface Listener {
        /** Receives the key, once. */
        void onKey(PeerKey key);

        /** Receives all hosts whenever a row is added, changed or removed. */
        void onHosts(ImmutableMap<HostId, HostRecord> hosts);
    }

    private final HostRecord self;
    private final WatchedTable table;
    private final EventLoop loop;
    private final Listener listener;
    private final Map<HostId, HostRecord> hosts = new HashMap<>();
    private Optional<PeerKey> key = Optional.empty();

    HostDirectory(HostRecord self, WatchedTable table, EventLoop loop, DecisionLog log, Listener listener) {
        super(log, table.name());
        this.self = checkNotNull(self);
        this.table = checkNotNull(table);
        this.loop = checkNotNull(loop);
        this.listener = checkNotNull(listener);
    }

    @Override
    public void onFullRead(VersionedRows rows) {
        hosts.clear();
        onChanges(rows);
        writeMissingRows();
    }

    @Override
    public void onChanges(VersionedRows changes) {
        boolean changed = false;
        for (Row row : changes.rows()) {
            changed |= applyRow(row);
        }
        if (changed) {
            listener.onHosts(ImmutableMap.copyOf(hosts));
        }
    }

    private boolean applyRow(Row row) {
        if (row.removed()) {
            return row.key().startsWith(HOST_ROW_PREFIX)
                    && hosts.remove(HostId.of(row.key().substring(HOST_ROW_PREFIX.length()))) != null;
        }
        if (row.key().equals(KEY_ROW)) {
            applyKey(row);
            return false;
        }
        try {
            HostRecord host = HostRecord.of(row.value());
            hosts.put(host.incarnation().host(), host);
            return true;
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
            return false;
        }
    }

    private void applyKey(Row row) {
        if (key.isPresent()) {
            return;
        }
        try {
            key = Optional.of(PeerKey.of(row.value()));
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
            return;
        }
        listener.onKey(key.get());
    }

    /** Writes the rows that the table lacks, and checks later whether they have appeared. */
    private void writeMissingRows() {
        boolean registered = Optional.ofNullable(hosts.get(self.incarnation().host()))
                .filter(self::isEquivalentTo)
                .isPresent();
        if (key.isPresent() && registered) {
            return;
        }
        if (key.isEmpty()) {
            byte[] bytes = new byte[KEY_BYTES];
            new SecureRandom().nextBytes(bytes);
            put(KEY_ROW, bytes, OptionalLong.of(0));
        }
        if (!registered) {
            put(HOST_ROW_PREFIX + self.incarnation().host(), self.toBytes(), OptionalLong.empty());
        }
        loop.schedule(this::writeMissingRows, WRITE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void put(String row, byte[] value, OptionalLong expected) {
        table.put(row, value, expected).whenComplete((written, failure) -> {
            if (failure != null) {
                log().write(RelayEvent.UNUSABLE, "table", table.name(), "key", row, "reason", failure.getMessage());
            }
        });
    }
}
