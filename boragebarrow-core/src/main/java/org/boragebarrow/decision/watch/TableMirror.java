package org.boragebarrow.decision.watch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.WatchedTable.Reading;
import org.boragebarrow.port.WatchedTable.Row;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A copy of a table from which other hosts are told what changed.
 *
 * <p>Not thread-safe. Never goes back: rows older than those known are ignored. Removed rows are remembered up to a bound,
 * so that a host which knows an old version learns of them; one that knows a still older version has to ask the store.
 */
public final class TableMirror {
    private final int maxRemoved;
    private final Map<String, Row> rows = new HashMap<>();
    private long version;
    private long horizon = Long.MAX_VALUE;

    /**
     * Creates a copy of which nothing is known.
     *
     * @param maxRemoved removed rows that are remembered
     */
    public TableMirror(int maxRemoved) {
        checkArgument(maxRemoved >= 0, "negative bound: %s", maxRemoved);
        this.maxRemoved = maxRemoved;
    }

    /** Takes over a full reading; one that is older than what is known is ignored. */
    public void replace(Reading reading) {
        if (reading.version() < version) {
            return;
        }
        rows.clear();
        reading.rows().forEach(row -> rows.put(row.key(), row));
        version = reading.version();
        horizon = version;
    }

    /** Takes over all changes between a version that is known here and the reading's. */
    public void add(Reading changes) {
        for (Row row : changes.rows()) {
            Row known = rows.get(row.key());
            if (known == null || known.version() < row.version()) {
                rows.put(row.key(), row);
            }
        }
        version = Math.max(version, changes.version());
        forgetRemoved();
    }

    private void forgetRemoved() {
        List<Row> removed =
                new ArrayList<>(rows.values().stream().filter(Row::removed).toList());
        if (removed.size() <= maxRemoved) {
            return;
        }
        removed.sort(Comparator.comparingLong(Row::version));
        for (Row row : removed.subList(0, removed.size() - maxRemoved)) {
            rows.remove(row.key());
            horizon = Math.max(horizon, row.version());
        }
    }

    /** Returns the newest version that is known, 0 before the first reading. */
    public long version() {
        return version;
    }

    /** Returns the rows that changed after the version, oldest first, or empty if some of them may be forgotten. */
    public Optional<Reading> since(long after) {
        if (after < horizon) {
            return Optional.empty();
        }
        ImmutableList<Row> changed = rows.values().stream()
                .filter(row -> row.version() > after)
                .sorted(Comparator.comparingLong(Row::version))
                .collect(ImmutableList.toImmutableList());
        return Optional.of(new Reading(changed, Math.max(version, after)));
    }
}
