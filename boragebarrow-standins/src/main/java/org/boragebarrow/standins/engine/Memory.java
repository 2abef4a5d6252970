package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.port.EngineControl.Export;
import org.boragebarrow.port.EngineControl.Reservation;

import static com.google.common.base.Preconditions.checkState;

/**
 * Accounts for KV memory in tokens: sequences, reservations and exports hold a part, the prefix cache uses the rest.
 */
final class Memory {
    private final long capacityTokens;
    private final BlockCache cache;
    private final Map<AttemptId, ReservedMemory> reservations = new LinkedHashMap<>();
    private final Map<String, Export> exports = new LinkedHashMap<>();
    private final Map<AttemptId, Long> tokensBySequence = new HashMap<>();
    private long heldTokens;
    private long exportCount;

    private record ReservedMemory(long tokens, long expiryNanos) {}

    Memory(long capacityTokens, BlockCache cache) {
        this.capacityTokens = capacityTokens;
        this.cache = cache;
    }

    long heldTokens() {
        return heldTokens;
    }

    long matchPrefix(ImmutableLongArray blocks) {
        return cache.match(blocks);
    }

    void storePrefix(ImmutableLongArray blocks, long nowNanos) {
        cache.store(blocks, capacityTokens - heldTokens, nowNanos);
    }

    /** Allocates memory to a sequence, evicting cached blocks; returns {@code false} if too little is free. */
    boolean allocate(AttemptId attempt, long tokens, long nowNanos) {
        if (!tryAcquire(tokens, nowNanos)) {
            return false;
        }
        checkState(tokensBySequence.put(attempt, tokens) == null, "%s already holds memory", attempt);
        return true;
    }

    /** Allocates the memory of the attempt's reservation to its sequence, if there is a reservation. */
    Optional<Long> allocateReserved(AttemptId attempt) {
        ReservedMemory reserved = reservations.remove(attempt);
        if (reserved == null) {
            return Optional.empty();
        }
        checkState(tokensBySequence.put(attempt, reserved.tokens) == null, "%s already holds memory", attempt);
        return Optional.of(reserved.tokens);
    }

    void free(AttemptId attempt) {
        Long tokens = tokensBySequence.remove(attempt);
        if (tokens != null) {
            releaseTokens(tokens);
        }
    }

    boolean reserve(AttemptId attempt, long tokens, Duration timeToLive, long nowNanos) {
        release(attempt);
        if (tokensBySequence.containsKey(attempt) || !tryAcquire(tokens, nowNanos)) {
            return false;
        }
        reservations.put(attempt, new ReservedMemory(tokens, nowNanos + timeToLive.toNanos()));
        return true;
    }

    void release(AttemptId attempt) {
        ReservedMemory reserved = reservations.remove(attempt);
        if (reserved != null) {
            releaseTokens(reserved.tokens);
        }
    }

    /** Moves the memory of a sequence to an export, if the sequence holds any. */
    Optional<String> export(AttemptId attempt) {
        Long tokens = tokensBySequence.remove(attempt);
        if (tokens == null) {
            return Optional.empty();
        }
        String id = "export-" + ++exportCount;
        exports.put(id, new Export(id, attempt, tokens));
        return Optional.of(id);
    }

    void deleteExport(String id) {
        Export export = exports.remove(id);
        if (export != null) {
            releaseTokens(export.tokens());
        }
    }

    void expire(long nowNanos) {
        Iterator<ReservedMemory> iterator = reservations.values().iterator();
        while (iterator.hasNext()) {
            ReservedMemory reserved = iterator.next();
            if (reserved.expiryNanos <= nowNanos) {
                iterator.remove();
                releaseTokens(reserved.tokens);
            }
        }
    }

    long nextExpiryNanos() {
        long next = Long.MAX_VALUE;
        for (ReservedMemory reserved : reservations.values()) {
            next = Math.min(next, reserved.expiryNanos);
        }
        return next;
    }

    ImmutableList<Reservation> reservations(long nowNanos) {
        ImmutableList.Builder<Reservation> listed = ImmutableList.builder();
        reservations.forEach((attempt, reserved) -> listed.add(new Reservation(
                attempt, Duration.ofNanos(Math.max(0, reserved.expiryNanos - nowNanos)), reserved.tokens)));
        return listed.build();
    }

    ImmutableList<Export> exports() {
        return ImmutableList.copyOf(exports.values());
    }

    private boolean tryAcquire(long tokens, long nowNanos) {
        if (heldTokens + tokens > capacityTokens) {
            return false;
        }
        heldTokens += tokens;
        cache.shrink(capacityTokens - heldTokens, nowNanos);
        return true;
    }

    private void releaseTokens(long tokens) {
        heldTokens -= tokens;
        checkState(heldTokens >= 0, "freed more memory than was held: %s tokens", heldTokens);
    }
}
