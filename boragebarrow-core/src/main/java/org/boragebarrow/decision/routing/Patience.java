package org.boragebarrow.decision.routing;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.Comparators;

/** Computes how long a caller waits without receiving an event before it disconnects. */
public final class Patience {
    private static final Duration LEAST = Duration.ofSeconds(2);
    private static final int OBJECTIVES = 4;
    private static final int PAUSES = 8;

    private Patience() {}

    /** Returns how long a caller waits for each event, including the first one; all clients follow this rule. */
    public static Duration of(Duration objective, Optional<Duration> pauseObjective) {
        Duration pauseBound = pauseObjective.orElse(Duration.ZERO).multipliedBy(PAUSES);
        return Comparators.max(LEAST, Comparators.max(objective.multipliedBy(OBJECTIVES), pauseBound));
    }
}
