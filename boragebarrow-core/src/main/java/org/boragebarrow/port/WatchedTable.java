package org.boragebarrow.port;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;

/** A table whose changes can be watched. Thread-safe. */
public interface WatchedTable {
    /**
     * One row.
     *
     * @param position the version of the row's last change, in the era in which it was read
     * @param removed whether the last change removed the row, so that it has no value
     */
    record Row(String key, byte[] value, StorePosition position, boolean removed) {
        /** Creates a row of a store that tells no eras. */
        public Row(String key, byte[] value, long version, boolean removed) {
            this(key, value, new StorePosition(0, version), removed);
        }

        /** Returns the version of the row's last change. */
        public long version() {
            return position.version();
        }
    }

    /**
     * Rows of the table, and the position of the store that they were read at. All changes up to the position are included;
     * later ones may be, too, if the rows were read in parts.
     */
    record VersionedRows(ImmutableList<Row> rows, StorePosition position) {
        /** Creates rows of a store that tells no eras. */
        public VersionedRows(ImmutableList<Row> rows, long version) {
            this(rows, new StorePosition(0, version));
        }

        /** Returns the version within the era. */
        public long version() {
            return position.version();
        }

        /** Returns the total size of all keys, in characters, and values, in bytes. */
        public long bytes() {
            return rows.stream()
                    .mapToLong(row -> row.key().length() + row.value().length)
                    .sum();
        }
    }

    /**
     * Thrown when the store has discarded changes after the position, or has begun another era, so that the table must be read
     * again.
     */
    final class HistoryLostException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception with the message. */
        public HistoryLostException(String message) {
            super(message);
        }
    }

    /** Returns the table's name. */
    String name();

    /**
     * Reads all rows of the table. The future fails if the store does not respond. {@link #changes} after the position of the
     * result returns all that the result lacks.
     */
    CompletableFuture<VersionedRows> read();

    /**
     * Waits for changes after the position. The result has no rows if there were none within the wait time. The future
     * fails with {@link HistoryLostException}, or if the store does not respond.
     */
    CompletableFuture<VersionedRows> changes(StorePosition after, Duration wait);

    /**
     * Writes one row. The future fails if the store does not respond; the row may have been written nevertheless.
     *
     * @param expected the position that the row must have, with version 0 for a row that must not exist; empty for any. One of an
     *     era that has ended never holds
     * @return whether the row had the expected position and was written
     */
    CompletableFuture<Boolean> put(String key, byte[] value, Optional<StorePosition> expected);
}
