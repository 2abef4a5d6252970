package org.boragebarrow.decision.routing;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.Comparators;

/** How long callers wait in silence. */
public final class Patience {
    private static final Duration LEAST = Duration.ofSeconds(2);
    private static final int OBJECTIVES = 4;
    private static final int PAUSES = 8;

    private Patience() {}

    /** Returns how long a caller waits for an event, the first one included: the rule that all clients follow. */
    public static Duration of(Duration objective, Optional<Duration> pauseObjective) {
        Duration pauses = pauseObjective.orElse(Duration.ZERO).multipliedBy(PAUSES);
        return Comparators.max(LEAST, Comparators.max(objective.multipliedBy(OBJECTIVES), pauses));
    }
}
