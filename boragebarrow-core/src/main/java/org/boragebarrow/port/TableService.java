package org.boragebarrow.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;

/**
 * The platform's transactional table service.
 *
 * <p>Implementations are thread-safe and never block the calling thread. Reads fail with {@link
 * TableUnavailableException}; commits always complete normally, with one of the four results.
 */
public interface TableService {
    /** Returns the row with the key, or empty if there is none. */
    CompletableFuture<Optional<Row>> get(String key);

    /** Returns up to {@code limit} rows whose keys start with the prefix, in key order. */
    CompletableFuture<ImmutableList<Row>> scan(String prefix, int limit);

    /** Applies all writes atomically if all conditions hold, otherwise none. */
    CompletableFuture<CommitResult> commit(ImmutableList<Condition> conditions, ImmutableList<Write> writes);

    /**
     * One row.
     *
     * @param version a number that increases with each write to the key; at least 1
     */
    record Row(String key, String value, long version) {}

    /** Requires that the row has exactly this version; version 0 requires that the key is absent. */
    record Condition(String key, long version) {
        /** Returns the condition that the key is absent. */
        public static Condition absent(String key) {
            return new Condition(key, 0);
        }
    }

    /** Writes a value, or deletes the key if the value is empty. */
    record Write(String key, Optional<String> value) {
        /** Returns a write of the value under the key. */
        public static Write put(String key, String value) {
            return new Write(key, Optional.of(value));
        }

        /** Returns a deletion of the key. */
        public static Write delete(String key) {
            return new Write(key, Optional.empty());
        }
    }

    /** The outcome of a commit. */
    sealed interface CommitResult {}

    /** All writes were applied. */
    record Committed() implements CommitResult {}

    /** A condition did not hold; no write was applied. */
    record Conflict() implements CommitResult {}

    /** The service refused the commit; no write was applied. */
    record Unavailable() implements CommitResult {}

    /** The response was lost or late: the writes may have been applied, or may still be applied. */
    record Unknown() implements CommitResult {}

    /** Thrown when a read receives no response. */
    final class TableUnavailableException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public TableUnavailableException(String message) {
            super(message, null, false, false);
        }
    }
}
