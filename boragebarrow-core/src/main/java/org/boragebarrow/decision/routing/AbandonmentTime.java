package org.boragebarrow.decision.routing;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.Comparators;

/** Computes how long a caller waits without receiving an event before it disconnects. */
public final class AbandonmentTime {
    private static final Duration MIN_TIME = Duration.ofSeconds(2);
    private static final int OBJECTIVE_FACTOR = 4;
    private static final int PAUSE_OBJECTIVE_FACTOR = 8;

    private AbandonmentTime() {}

    /** Returns how long a caller waits for each event, including the first one; all clients follow this rule. */
    public static Duration of(Duration objective, Optional<Duration> pauseObjective) {
        Duration pauseBound = pauseObjective.orElse(Duration.ZERO).multipliedBy(PAUSE_OBJECTIVE_FACTOR);
        return Comparators.max(MIN_TIME, Comparators.max(objective.multipliedBy(OBJECTIVE_FACTOR), pauseBound));
    }
}
