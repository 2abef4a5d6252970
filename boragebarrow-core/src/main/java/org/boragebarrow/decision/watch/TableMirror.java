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
import org.boragebarrow.port.StorePosition;
import org.boragebarrow.port.WatchedTable.Row;
import org.boragebarrow.port.WatchedTable.VersionedRows;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A copy of a table that serves its changes to other hosts.
 *
 * <p>Not thread-safe. Positions never decrease: rows that are older than the copy's are ignored. All rows are of one era; only a
 * full read begins another one. A bounded number of
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
    private StorePosition position = StorePosition.START;
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

    /** Replaces the copy by all rows of the table; ignores them if their position is before the copy's. */
    public void replace(VersionedRows snapshot) {
        if (snapshot.position().isBefore(position)) {
            return;
        }
        rows.clear();
        earlierRows.clear();
        snapshot.rows().forEach(row -> rows.put(row.key(), row));
        position = snapshot.position();
        oldestServedVersion = position.version();
    }

    /**
     * Applies changes; ignores those of another era.
     *
     * @param changes all rows that changed between the position of the copy, or an earlier one, and the position given here
     */
    public void applyChanges(VersionedRows changes) {
        if (!changes.position().isSameEra(position)) {
            return;
        }
        for (Row row : changes.rows()) {
            Row current = rows.get(row.key());
            if (current == null || current.version() < row.version()) {
                rows.put(row.key(), row);
                retainReplaced(Optional.ofNullable(current), row);
            }
        }
        position = StorePosition.max(position, changes.position());
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

    /** Returns the position of the copy, {@link StorePosition#START} before the first read. */
    public StorePosition position() {
        return position;
    }

    /**
     * Returns the rows that changed after the position, oldest first, or empty if some of them may be missing, as after a position
     * in another era.
     */
    public Optional<VersionedRows> changesSince(StorePosition after) {
        if (!after.isSameEra(position) || after.version() < oldestServedVersion) {
            return Optional.empty();
        }
        ImmutableList<Row> changed = rows.values().stream()
                .filter(row -> row.version() > after.version())
                .sorted(Comparator.comparingLong(Row::version))
                .collect(ImmutableList.toImmutableList());
        return Optional.of(new VersionedRows(changed, StorePosition.max(position, after)));
    }
}
