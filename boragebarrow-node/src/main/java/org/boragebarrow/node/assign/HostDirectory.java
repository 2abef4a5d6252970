package org.boragebarrow.node.assign;

import java.security.SecureRandom;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Sets;
import io.netty.channel.EventLoop;
import org.boragebarrow.model.HostId;
import org.boragebarrow.node.relay.DecisionLog;
import org.boragebarrow.node.relay.RelayEvent;
import org.boragebarrow.node.relay.StoreListener;
import org.boragebarrow.peer.link.PeerKey;
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The hosts of the deployment and the key of their links, as stored in the platform's store.
 *
 * <p>Confined to the event loop. A host that starts again writes its row only if it is to be found elsewhere, as each
 * change of the table is sent to all hosts. The key is written by the first host that finds none. The outcome of a write is
 * read from the table, so a write whose answer is lost needs no special handling.
 *
 * <p>When the store comes back from an older copy, the hosts that are known stay known, and each host writes what the copy lacks of
 * its own row and of the key, at a moment of its own. If a host that started meanwhile has written another key, all adopt the one in
 * the store.
 */
final class HostDirectory extends StoreListener {
    private static final String KEY_ROW = "key";
    private static final String HOST_ROW_PREFIX = "host/";
    private static final int KEY_BYTES = 32;

    /** Time after which a write that has not appeared in the table is repeated. */
    private static final long WRITE_RETRY_MILLIS = 3_000;

    /** Time within which all hosts write what an older copy of the store lacks. */
    private static final int MAX_RESTORE_DELAY_MILLIS = 1_000;

    /** Receives the content of the table; called on the event loop. */
    interface Listener {
        /** Receives the key, and again if another one has taken its place in the store. */
        void onKey(PeerKey key);

        /** Receives all hosts whenever a row is added, changed or removed. */
        void onHosts(ImmutableMap<HostId, HostRecord> hosts);
    }

    private final HostRecord self;
    private final WatchedTable table;
    private final EventLoop loop;
    private final Listener listener;
    private final Map<HostId, HostRecord> hosts = new HashMap<>();

    /** The hosts whose rows the table has, as opposed to those that are only remembered. */
    private final Set<HostId> stored = new HashSet<>();

    private byte[] key = new byte[0];
    private boolean keyStored;
    private StorePosition readAt = StorePosition.START;

    HostDirectory(HostRecord self, WatchedTable table, EventLoop loop, DecisionLog log, Listener listener) {
        super(log, table.name());
        this.self = checkNotNull(self);
        this.table = checkNotNull(table);
        this.loop = checkNotNull(loop);
        this.listener = checkNotNull(listener);
    }

    @Override
    public void onFullRead(VersionedRows rows) {
        boolean restored = key.length > 0 && !rows.position().isSameEra(readAt);
        StorePosition before = readAt;
        readAt = rows.position();
        keyStored = false;
        stored.clear();
        if (!restored) {
            hosts.clear();
        }
        apply(rows, restored);
        if (!restored) {
            writeMissingRows();
            return;
        }
        log().write(
                        RelayEvent.STORE_ERA,
                        "table",
                        table.name(),
                        "from",
                        before,
                        "to",
                        readAt,
                        "rows",
                        rows.rows().size(),
                        "kept",
                        Sets.difference(hosts.keySet(), stored).size(),
                        "rewritten",
                        isRegistered() && keyStored ? 0 : 1);
        loop.schedule(this::writeMissingRows, restoreDelayMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns a delay that differs between hosts, as all of them restore their rows after the same event. */
    private long restoreDelayMillis() {
        return Math.floorMod(self.incarnation().hashCode(), MAX_RESTORE_DELAY_MILLIS);
    }

    @Override
    public void onChanges(VersionedRows changes) {
        readAt = changes.position();
        apply(changes, false);
    }

    /** Applies rows; those of an older copy do not replace later incarnations. */
    private void apply(VersionedRows changes, boolean fromCopy) {
        boolean changed = false;
        for (Row row : changes.rows()) {
            changed |= applyRow(row, fromCopy);
        }
        if (changed) {
            listener.onHosts(ImmutableMap.copyOf(hosts));
        }
    }

    private boolean applyRow(Row row, boolean fromCopy) {
        if (row.removed()) {
            keyStored &= !row.key().equals(KEY_ROW);
            stored.removeIf(host -> row.key().equals(HOST_ROW_PREFIX + host));
            return row.key().startsWith(HOST_ROW_PREFIX)
                    && hosts.remove(HostId.of(row.key().substring(HOST_ROW_PREFIX.length()))) != null;
        }
        if (row.key().equals(KEY_ROW)) {
            applyKey(row);
            return false;
        }
        try {
            HostRecord host = HostRecord.of(row.value());
            HostId id = host.incarnation().host();
            stored.add(id);
            if (fromCopy) {
                hosts.merge(id, host, HostDirectory::laterIncarnation);
            } else {
                hosts.put(id, host);
            }
            return true;
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
            return false;
        }
    }

    private static HostRecord laterIncarnation(HostRecord known, HostRecord read) {
        boolean isOlder =
                read.incarnation().number().compareTo(known.incarnation().number()) < 0;
        return isOlder ? known : read;
    }

    private void applyKey(Row row) {
        keyStored = true;
        if (Arrays.equals(key, row.value())) {
            return;
        }
        try {
            PeerKey read = PeerKey.of(row.value());
            key = row.value();
            listener.onKey(read);
        } catch (IllegalArgumentException e) {
            logUnusable(row, e);
        }
    }

    private boolean isRegistered() {
        HostId id = self.incarnation().host();
        return stored.contains(id)
                && Optional.ofNullable(hosts.get(id))
                        .filter(self::isEquivalentTo)
                        .isPresent();
    }

    /** Writes the rows that the table lacks, and checks later whether they have appeared. */
    private void writeMissingRows() {
        boolean registered = isRegistered();
        if (keyStored && registered) {
            return;
        }
        if (!keyStored) {
            put(KEY_ROW, key.length > 0 ? key : newKey(), Optional.of(readAt.withoutRow()));
        }
        if (!registered) {
            put(HOST_ROW_PREFIX + self.incarnation().host(), self.toBytes(), Optional.empty());
        }
        loop.schedule(this::writeMissingRows, WRITE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static byte[] newKey() {
        byte[] bytes = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(bytes);
        return bytes;
    }

    private void put(String row, byte[] value, Optional<StorePosition> expected) {
        table.put(row, value, expected).whenComplete((written, failure) -> {
            if (failure != null) {
                log().write(RelayEvent.UNUSABLE, "table", table.name(), "key", row, "reason", failure.getMessage());
            }
        });
    }
}
