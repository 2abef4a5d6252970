package org.boragebarrow.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's store for bodies that are too large for a table row. The futures fail if it is unavailable. */
public interface ObjectStore {
    /** Stores the bytes under the key. Storing the same bytes again has no effect. */
    CompletableFuture<Void> put(String key, byte[] bytes);

    /** Returns the bytes under the key, or empty if there are none. */
    CompletableFuture<Optional<byte[]>> get(String key);

    /** Deletes the bytes under the key, if any. */
    CompletableFuture<Void> delete(String key);
}
