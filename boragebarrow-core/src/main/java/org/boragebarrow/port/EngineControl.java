package org.boragebarrow.port;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.Target;

/** Everything an engine offers beside streaming; futures fail when the engine does not answer. */
public interface EngineControl {
    /** Returns the engine's latest load report, which lags. */
    CompletableFuture<LoadReport> load(Target engine);

    /** Returns the sequences, reservations and exports that hold memory at the engine. */
    CompletableFuture<Holdings> holdings(Target engine);

    /** Cancels a sequence; idempotent, and also succeeds when the engine does not know it. */
    CompletableFuture<Void> cancel(Target engine, AttemptId attempt);

    /** Returns cache events after the given sequence number. */
    CompletableFuture<CacheEvents> cacheEvents(Target engine, long after);

    /** Reserves memory for a part of a prompt; {@code false} means that the engine lacks it. */
    CompletableFuture<Boolean> reserve(Target engine, AttemptId attempt, long tokens, Duration timeToLive);

    /** Releases a reservation; idempotent. */
    CompletableFuture<Void> release(Target engine, AttemptId attempt);

    /** Deletes an exported cache; idempotent. */
    CompletableFuture<Void> deleteExport(Target engine, String export);

    /** Sends an order with a fencing number; {@code false} means that the engine refused an old number. */
    CompletableFuture<Boolean> order(Target engine, Order order, long fencingNumber);

    /**
     * What an engine says of its load.
     *
     * @param age how old the report was when the engine sent it
     * @param capacityTokens KV memory, in tokens
     * @param usedTokens KV memory in use by sequences and reservations, in tokens
     * @param batchSlots the most sequences that decode together
     * @param accepting whether the engine takes new work; {@code false} once it is leaving
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

    /** What holds memory at an engine. */
    record Holdings(
            ImmutableList<Sequence> sequences,
            ImmutableList<Reservation> reservations,
            ImmutableList<Export> exports) {}

    /** A sequence in progress. */
    record Sequence(AttemptId attempt, Duration remaining, long tokens) {}

    /** A reservation for a part of a prompt. */
    record Reservation(AttemptId attempt, Duration remaining, long tokens) {}

    /** An exported cache that nobody has imported yet. */
    record Export(String id, AttemptId attempt, long tokens) {}

    /**
     * Changes of the prefix cache.
     *
     * @param first the number of the first event; a caller that expected a lower one has missed some
     */
    record CacheEvents(long first, long next, ImmutableList<CacheEvent> events) {}

    /** One block that entered or left the prefix cache. */
    record CacheEvent(long blockHash, boolean stored) {}

    /** An order to an engine. */
    sealed interface Order {}

    /** Loads a model. */
    record LoadModel(ModelId model) implements Order {}

    /** Unloads a model. */
    record UnloadModel(ModelId model) implements Order {}

    /** Changes the role: {@code prefill}, {@code decode} or {@code both}. */
    record ChangeRole(String role) implements Order {}
}
