package org.boragebarrow.testing;

import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The rows of a transactional table, of which earlier versions can be read.
 *
 * <p>A row's version is the number of the commit that wrote it, so versions are not reused after a deletion. Not
 * thread-safe.
 */
public final class MemoryTable {
    private final int retainedCommits;
    private final NavigableMap<String, NavigableMap<Long, Optional<String>>> rows = new TreeMap<>();
    private long commits;

    /** Creates an empty table that can be read as of up to {@code retainedCommits} commits ago. */
    public MemoryTable(int retainedCommits) {
        checkArgument(retainedCommits >= 0, "retained commits must not be negative: %s", retainedCommits);
        this.retainedCommits = retainedCommits;
    }

    /** Returns the number of commits that were applied. */
    public long commits() {
        return commits;
    }

    /** Returns the current row with the key. */
    public Optional<Row> get(String key) {
        return get(key, 0);
    }

    /** Returns the row with the key as of the given number of commits ago, but no earlier than the table retains. */
    public Optional<Row> get(String key, int commitsAgo) {
        checkNotNull(key);
        NavigableMap<Long, Optional<String>> values = rows.get(key);
        return values == null ? Optional.empty() : rowAt(key, values, commits - clampToRetained(commitsAgo));
    }

    /** Returns up to {@code limit} current rows whose keys start with the prefix, in key order. */
    public ImmutableList<Row> scan(String prefix, int limit) {
        return scan(prefix, limit, 0);
    }

    /** Returns the rows of a scan as of the given number of commits ago, but no earlier than the table retains. */
    public ImmutableList<Row> scan(String prefix, int limit, int commitsAgo) {
        checkNotNull(prefix);
        checkArgument(limit >= 0, "limit must not be negative: %s", limit);
        long commit = commits - clampToRetained(commitsAgo);
        ImmutableList.Builder<Row> found = ImmutableList.builder();
        int count = 0;
        for (Map.Entry<String, NavigableMap<Long, Optional<String>>> entry :
                rows.tailMap(prefix, true).entrySet()) {
            if (count == limit || !entry.getKey().startsWith(prefix)) {
                break;
            }
            Optional<Row> row = rowAt(entry.getKey(), entry.getValue(), commit);
            if (row.isPresent()) {
                found.add(row.get());
                count++;
            }
        }
        return found.build();
    }

    /** Applies all writes if all conditions hold for the current rows. Returns whether they did. */
    public boolean commit(ImmutableList<Condition> conditions, ImmutableList<Write> writes) {
        for (Condition condition : conditions) {
            long version = get(condition.key()).map(Row::version).orElse(0L);
            if (version != condition.version()) {
                return false;
            }
        }
        commits++;
        for (Write write : writes) {
            put(write);
        }
        return true;
    }

    private void put(Write write) {
        NavigableMap<Long, Optional<String>> values = rows.computeIfAbsent(write.key(), key -> new TreeMap<>());
        values.put(commits, write.value());
        Long oldest = values.floorKey(commits - retainedCommits);
        if (oldest != null) {
            values.headMap(oldest, false).clear();
        }
        if (values.size() == 1 && write.value().isEmpty()) {
            rows.remove(write.key());
        }
    }

    private long clampToRetained(int commitsAgo) {
        checkArgument(commitsAgo >= 0, "commits ago must not be negative: %s", commitsAgo);
        return Math.min(commitsAgo, retainedCommits);
    }

    private static Optional<Row> rowAt(String key, NavigableMap<Long, Optional<String>> values, long commit) {
        Map.Entry<Long, Optional<String>> value = values.floorEntry(commit);
        if (value == null) {
            return Optional.empty();
        }
        return value.getValue().map(text -> new Row(key, text, value.getKey()));
    }
}
