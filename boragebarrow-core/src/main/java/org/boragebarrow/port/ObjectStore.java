package org.boragebarrow.port;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store for bodies that are too large for a table row; futures fail when it is down. */
public interface ObjectStore {
    /** Stores the bytes at the key; writing the same bytes again is harmless. */
    CompletableFuture<Void> put(String key, byte[] bytes);

    /** Returns the bytes at the key, or empty if there are none. */
    CompletableFuture<Optional<byte[]>> get(String key);

    /** Deletes the key if it exists. */
    CompletableFuture<Void> delete(String key);
}
