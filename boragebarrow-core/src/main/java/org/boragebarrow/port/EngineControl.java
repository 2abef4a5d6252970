package org.boragebarrow.port;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.Target;

/** The operations of an engine other than streaming. The futures fail if the engine does not respond. */
public interface EngineControl {
    /** Returns the engine's latest load report, which may be out of date; see {@link LoadReport#age}. */
    CompletableFuture<LoadReport> load(Target engine);

    /** Returns the sequences, reservations and exports that hold memory at the engine. */
    CompletableFuture<Holdings> holdings(Target engine);

    /** Cancels a sequence. Idempotent; succeeds also if the engine has no such sequence. */
    CompletableFuture<Void> cancel(Target engine, AttemptId attempt);

    /** Returns the cache events with numbers greater than the given one. */
    CompletableFuture<CacheEvents> cacheEvents(Target engine, long after);

    /** Reserves memory for a part of a prompt; returns {@code false} if the engine does not have enough. */
    CompletableFuture<Boolean> reserve(Target engine, AttemptId attempt, long tokens, Duration timeToLive);

    /** Releases a reservation. Idempotent. */
    CompletableFuture<Void> release(Target engine, AttemptId attempt);

    /** Deletes an exported cache. Idempotent. */
    CompletableFuture<Void> deleteExport(Target engine, String export);

    /** Sends an order with a fencing number; returns {@code false} if the engine refused the number as outdated. */
    CompletableFuture<Boolean> order(Target engine, Order order, long fencingNumber);

    /**
     * A load report of an engine.
     *
     * @param age the age of the report when the engine sent it
     * @param capacityTokens the size of the KV cache memory, in tokens
     * @param usedTokens the KV cache memory that sequences and reservations use, in tokens
     * @param batchSlots the maximum number of sequences that decode concurrently
     * @param accepting whether the engine accepts new requests; {@code false} once its removal is announced
     */
    record LoadReport(
            Duration age,
            long capacityTokens,
            long usedTokens,
            int batchSlots,
            int running,
            int queued,
            double prefillTokensPerSecond,
            double decodeTokensPerSecond,
            ImmutableSet<ModelId> models,
            String role,
            boolean accepting) {}

    /** The objects that occupy memory of an engine. */
    record Holdings(
            ImmutableList<Sequence> sequences,
            ImmutableList<Reservation> reservations,
            ImmutableList<Export> exports) {}

    /** A sequence in progress. */
    record Sequence(AttemptId attempt, Duration remaining, long tokens) {}

    /** A reservation for a part of a prompt. */
    record Reservation(AttemptId attempt, Duration remaining, long tokens) {}

    /** An exported cache that no engine has imported yet. */
    record Export(String id, AttemptId attempt, long tokens) {}

    /**
     * Changes to the prefix cache.
     *
     * @param first the number of the first event; if it is higher than expected, the caller has missed events
     * @param next the number that follows the last event
     */
    record CacheEvents(long first, long next, ImmutableList<CacheEvent> events) {}

    /** The addition of a block to the prefix cache, or its removal. */
    record CacheEvent(long blockHash, boolean stored) {}

    /** An order to an engine. */
    sealed interface Order {}

    /** Loads a model. */
    record LoadModel(ModelId model) implements Order {}

    /** Unloads a model. */
    record UnloadModel(ModelId model) implements Order {}

    /** Changes the engine's role to {@code prefill}, {@code decode} or {@code both}. */
    record ChangeRole(String role) implements Order {}
}
