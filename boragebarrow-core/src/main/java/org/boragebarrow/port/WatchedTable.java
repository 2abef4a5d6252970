package org.boragebarrow.port;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;

/** A table whose changes can be watched. Thread-safe. */
public interface WatchedTable {
    /**
     * One row.
     *
     * @param version the version of the row's last change
     * @param removed whether the last change removed the row, so that it has no value
     */
    record Row(String key, byte[] value, long version, boolean removed) {}

    /**
     * Rows of the table, and the version of the store that they were read at. All changes up to the version are included;
     * later ones may be, too, if the rows were read in parts.
     */
    record VersionedRows(ImmutableList<Row> rows, long version) {
        /** Returns the total size of all keys, in characters, and values, in bytes. */
        public long bytes() {
            return rows.stream()
                    .mapToLong(row -> row.key().length() + row.value().length)
                    .sum();
        }
    }

    /** Thrown when the store has discarded changes after the version, so that the table must be read again. */
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
     * Reads all rows of the table. The future fails if the store does not respond. {@link #changes} after the version of the
     * result returns all that the result lacks.
     */
    CompletableFuture<VersionedRows> read();

    /**
     * Waits for changes after the version. The result has no rows if there were none within the wait time. The future
     * fails with {@link HistoryLostException}, or if the store does not respond.
     */
    CompletableFuture<VersionedRows> changes(long after, Duration wait);

    /**
     * Writes one row. The future fails if the store does not respond; the row may have been written nevertheless.
     *
     * @param expected the version that the row must have, 0 for a row that must not exist; empty for any
     * @return whether the row had the expected version and was written
     */
    CompletableFuture<Boolean> put(String key, byte[] value, OptionalLong expected);
}
