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
 * <p>Thread-safe. The engines are asked one after the other in the order of their ids, so that of two gangs that meet one
 * gets all; the loser frees what it got. Every reservation has a time to live at the engine.
 */
public final class GangReservations {
    private static final Duration SLACK = Duration.ofSeconds(2);

    private final EngineControl control;
    private final EngineReleases releases;

    /** Creates reservations that are made and freed through the given ways. */
    public GangReservations(EngineControl control, EngineReleases releases) {
        this.control = checkNotNull(control);
        this.releases = checkNotNull(releases);
    }

    /** Reserves an even share of the tokens at each engine; completes with whether all engines had room. */
    CompletableFuture<Boolean> reserve(ImmutableList<Target> gang, AttemptId attempt, long tokens, Duration remaining) {
        checkArgument(gang.size() > 1, "a gang of %s", gang.size());
        long share = (tokens + gang.size() - 1) / gang.size();
        ImmutableList<Target> ordered = ImmutableSortedSet.copyOf(Comparator.comparing(Target::id), gang)
                .asList();
        return reserve(ordered, 0, attempt, share, remaining.plus(SLACK));
    }

    private CompletableFuture<Boolean> reserve(
            ImmutableList<Target> ordered, int place, AttemptId attempt, long share, Duration timeToLive) {
        if (place == ordered.size()) {
            return CompletableFuture.completedFuture(true);
        }
        Target engine = ordered.get(place);
        return control.reserve(engine, attempt, share, timeToLive)
                .exceptionally(failure -> false)
                .thenCompose(reserved -> {
                    if (reserved) {
                        return reserve(ordered, place + 1, attempt, share, timeToLive);
                    }
                    // The last one asked may have reserved, too, and its answer be lost.
                    release(ordered.subList(0, place + 1), attempt);
                    return CompletableFuture.completedFuture(false);
                });
    }

    /** Frees the attempt's reservations at the engines. */
    void release(ImmutableList<Target> gang, AttemptId attempt) {
        gang.forEach(engine -> releases.release(engine, attempt));
    }
}
