package org.boragebarrow.port;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;

/** A table whose changes can be waited for. Thread-safe. */
public interface WatchedTable {
    /**
     * One row.
     *
     * @param version of the row's last change
     * @param removed whether the change took the row away, so that it has no value
     */
    record Row(String key, byte[] value, long version, boolean removed) {}

    /** Rows as of one version of the store. */
    record Reading(ImmutableList<Row> rows, long version) {
        /** Returns the size of all keys and values. */
        public long bytes() {
            return rows.stream()
                    .mapToLong(row -> row.key().length() + row.value().length)
                    .sum();
        }
    }

    /** Reports that the changes after the version are no longer kept, so that the table has to be read anew. */
    final class HistoryLostException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates a report. */
        public HistoryLostException(String message) {
            super(message);
        }
    }

    /** Returns the table's name. */
    String name();

    /** Reads the whole table; the future fails if the store does not answer. */
    CompletableFuture<Reading> read();

    /**
     * Waits for changes after the version; an empty reading tells that none came in time. The future fails with {@link
     * HistoryLostException}, or if the store does not answer.
     */
    CompletableFuture<Reading> changes(long after, Duration wait);

    /**
     * Writes one row; the future fails if the store does not answer, and the row may be written all the same.
     *
     * @param expected the version that the row must have, 0 for a row that must not exist; empty for any
     * @return whether the row had the expected version and was written
     */
    CompletableFuture<Boolean> put(String key, byte[] value, OptionalLong expected);
}
