package org.boragebarrow.decision.watch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

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
    /** Replaced values that are retained for each row: the changes that a host misses while it pauses after one. */
    private static final int MAX_EARLIER_ROWS = 3;

    /** Maximum size of all retained values of a row, in bytes. */
    private static final long MAX_EARLIER_BYTES = 1 << 20;

    private final int maxTombstones;
    private final int minEditedBytes;
    private final Map<String, Row> rows = new HashMap<>();
    private final Map<String, Deque<Row>> earlierRows = new HashMap<>();
    private long version;
    private long oldestServedVersion = Long.MAX_VALUE;

    /**
     * Creates an empty copy.
     *
     * @param maxTombstones the most removed rows that are retained
     * @param minEditedBytes the least size of a value of which replaced ones are retained, in bytes
     */
    public TableMirror(int maxTombstones, int minEditedBytes) {
        checkArgument(maxTombstones >= 0, "negative tombstone limit: %s", maxTombstones);
        this.maxTombstones = maxTombstones;
        this.minEditedBytes = minEditedBytes;
    }

    /** Replaces the copy by all rows of the table; ignores them if their version is lower than the copy's. */
    public void replace(VersionedRows snapshot) {
        if (snapshot.version() < version) {
            return;
        }
        rows.clear();
        earlierRows.clear();
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
                retainReplaced(Optional.ofNullable(current), row);
            }
        }
        version = Math.max(version, changes.version());
        dropOldTombstones();
    }

    private void retainReplaced(Optional<Row> replaced, Row row) {
        if (row.removed() || replaced.isEmpty() || replaced.get().value().length < minEditedBytes) {
            earlierRows.remove(row.key());
            return;
        }
        Deque<Row> earlier = earlierRows.computeIfAbsent(row.key(), key -> new ArrayDeque<>());
        earlier.addLast(replaced.get());
        long bytes =
                earlier.stream().mapToLong(retained -> retained.value().length).sum();
        while (earlier.size() > MAX_EARLIER_ROWS || (bytes > MAX_EARLIER_BYTES && earlier.size() > 1)) {
            bytes -= earlier.removeFirst().value().length;
        }
    }

    /** Returns the row as of a version, if this copy had it then and retains it. */
    public Optional<Row> rowAsOf(String key, long asOf) {
        Optional<Row> current = Optional.ofNullable(rows.get(key));
        Stream<Row> earlier = earlierRows.getOrDefault(key, new ArrayDeque<>()).stream();
        return Stream.concat(earlier, current.stream())
                .filter(row -> row.version() <= asOf)
                .max(Comparator.comparingLong(Row::version));
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
