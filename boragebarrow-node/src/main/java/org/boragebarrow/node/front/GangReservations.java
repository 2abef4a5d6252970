package org.boragebarrow.node.front;

import java.time.Duration;
import java.util.Comparator;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.EngineControl;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Reserves memory at all engines of a gang or at none.
 *
 * <p>Thread-safe. Reservations are made sequentially in the order of the engines' ids, so that of two conflicting gangs
 * one succeeds at all its engines; the other one releases what it has reserved. Each reservation has a time to live at
 * the engine.
 */
public final class GangReservations {
    private static final Duration EXPIRY_SLACK = Duration.ofSeconds(2);

    private final EngineControl control;
    private final EngineReleases releases;

    /** Creates an instance that reserves memory through {@code control} and frees it through {@code releases}. */
    public GangReservations(EngineControl control, EngineReleases releases) {
        this.control = checkNotNull(control);
        this.releases = checkNotNull(releases);
    }

    /** Reserves an equal part of the tokens at each engine; completes with whether all engines had enough memory. */
    CompletableFuture<Boolean> reserve(ImmutableList<Target> gang, AttemptId attempt, long tokens, Duration remaining) {
        checkArgument(gang.size() > 1, "a gang needs at least two engines: %s", gang.size());
        long tokensPerEngine = (tokens + gang.size() - 1) / gang.size();
        ImmutableList<Target> ordered = ImmutableSortedSet.copyOf(Comparator.comparing(Target::id), gang)
                .asList();
        return reserve(ordered, 0, attempt, tokensPerEngine, remaining.plus(EXPIRY_SLACK));
    }

    private CompletableFuture<Boolean> reserve(
            ImmutableList<Target> ordered, int index, AttemptId attempt, long tokensPerEngine, Duration timeToLive) {
        if (index == ordered.size()) {
            return CompletableFuture.completedFuture(true);
        }
        Target engine = ordered.get(index);
        return control.reserve(engine, attempt, tokensPerEngine, timeToLive)
                .exceptionally(failure -> false)
                .thenCompose(reserved -> {
                    if (reserved) {
                        return reserve(ordered, index + 1, attempt, tokensPerEngine, timeToLive);
                    }
                    // The last engine may have reserved as well: a failed call includes a lost response.
                    release(ordered.subList(0, index + 1), attempt);
                    return CompletableFuture.completedFuture(false);
                });
    }

    /** Releases the attempt's reservations at the engines. */
    void release(ImmutableList<Target> gang, AttemptId attempt) {
        gang.forEach(engine -> releases.release(engine, attempt));
    }
}
