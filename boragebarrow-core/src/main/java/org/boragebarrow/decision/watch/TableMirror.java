package org.boragebarrow.decision.watch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A copy of a table that serves its changes to other hosts.
 *
 * <p>Not thread-safe. Versions never decrease: rows that are older than the copy's are ignored. A bounded number of
 * removed rows is retained as tombstones, so that a host with an older version receives the removals; a host with a
 * version for which tombstones have been dropped has to read the store.
 */
public final class TableMirror {
    private final int maxTombstones;
    private final Map<String, Row> rows = new HashMap<>();
    private long version;
    private long oldestServedVersion = Long.MAX_VALUE;

    /**
     * Creates an empty copy.
     *
     * @param maxTombstones the most removed rows that are retained
     */
    public TableMirror(int maxTombstones) {
        checkArgument(maxTombstones >= 0, "negative tombstone limit: %s", maxTombstones);
        this.maxTombstones = maxTombstones;
    }

    /** Replaces the copy by all rows of the table; ignores them if their version is lower than the copy's. */
    public void replace(VersionedRows snapshot) {
        if (snapshot.version() < version) {
            return;
        }
        rows.clear();
        snapshot.rows().forEach(row -> rows.put(row.key(), row));
        version = snapshot.version();
        oldestServedVersion = version;
    }

    /**
     * Applies changes.
     *
     * @param changes all rows that changed between the version of the copy, or a lower one, and the version given here
     */
    public void applyChanges(VersionedRows changes) {
        for (Row row : changes.rows()) {
            Row current = rows.get(row.key());
            if (current == null || current.version() < row.version()) {
                rows.put(row.key(), row);
            }
        }
        version = Math.max(version, changes.version());
        dropOldTombstones();
    }

    private void dropOldTombstones() {
        List<Row> tombstones =
                new ArrayList<>(rows.values().stream().filter(Row::removed).toList());
        if (tombstones.size() <= maxTombstones) {
            return;
        }
        tombstones.sort(Comparator.comparingLong(Row::version));
        for (Row row : tombstones.subList(0, tombstones.size() - maxTombstones)) {
            rows.remove(row.key());
            oldestServedVersion = Math.max(oldestServedVersion, row.version());
        }
    }

    /** Returns the version of the copy, 0 before the first read. */
    public long version() {
        return version;
    }

    /** Returns the rows that changed after the version, oldest first, or empty if some of them may be missing. */
    public Optional<VersionedRows> changesSince(long after) {
        if (after < oldestServedVersion) {
            return Optional.empty();
        }
        ImmutableList<Row> changed = rows.values().stream()
                .filter(row -> row.version() > after)
                .sorted(Comparator.comparingLong(Row::version))
                .collect(ImmutableList.toImmutableList());
        return Optional.of(new VersionedRows(changed, Math.max(version, after)));
    }
}
