package org.boragebarrow.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;

/**
 * The platform's transactional table service.
 *
 * <p>Implementations are thread-safe and never block the calling thread. Reads fail with {@link
 * TableUnavailableException}; commits always complete normally with one of the four results.
 */
public interface TableService {
    /** Returns the row at the key, or empty if there is none. */
    CompletableFuture<Optional<Row>> get(String key);

    /** Returns up to {@code limit} rows whose keys start with the prefix, in key order. */
    CompletableFuture<ImmutableList<Row>> scan(String prefix, int limit);

    /** Applies all writes atomically if all conditions hold, else none. */
    CompletableFuture<CommitResult> commit(ImmutableList<Condition> conditions, ImmutableList<Write> writes);

    /**
     * One row.
     *
     * @param version a number that grows with each write to the key; at least 1
     */
    record Row(String key, String value, long version) {}

    /** Requires a key to be at an exact version; version 0 requires the key to be absent. */
    record Condition(String key, long version) {
        /** Returns the condition that the key does not exist. */
        public static Condition absent(String key) {
            return new Condition(key, 0);
        }
    }

    /** Writes a value, or deletes the key when the value is empty. */
    record Write(String key, Optional<String> value) {
        /** Returns a write of the value at the key. */
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

    /** All writes took effect. */
    record Committed() implements CommitResult {}

    /** A condition did not hold; nothing took effect. */
    record Conflict() implements CommitResult {}

    /** The service refused before doing anything; nothing took effect. */
    record Unavailable() implements CommitResult {}

    /** The answer was lost or late: the writes may have taken effect or may still do so. */
    record Unknown() implements CommitResult {}

    /** Reports that a read got no answer. */
    final class TableUnavailableException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        public TableUnavailableException(String message) {
            super(message, null, false, false);
        }
    }
}
