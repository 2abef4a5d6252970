package org.boragebarrow.node.relay;

import java.time.Duration;

import com.google.common.collect.Comparators;
import org.boragebarrow.decision.routing.Patience;
import org.boragebarrow.decision.routing.Route;

/**
 * How long a target may stay silent before the request is tried elsewhere.
 *
 * <p>Load pattern: a target that goes dark without closing its connections. The caller leaves a silent stream by itself
 * after a while, so another target must be tried well before.
 */
final class StallLimits {
    /** What a first event may take beyond the prediction: half of it more, and the longest ordinary pass. */
    private static final double PREDICTION_SHARE = 1.5;

    private static final Duration FIRST_SLACK = Duration.ofMillis(700);

    /** A pause this many times the objective is no ordinary pass. */
    private static final long PAUSES = 3;

    private static final Duration LEAST_PAUSE = Duration.ofMillis(900);

    /** The part of the time until the caller leaves after which too little is left for another target. */
    private static final double LEAVE_SHARE = 0.55;

    private StallLimits() {}

    /** Returns how long the first event may take. */
    static Duration first(Duration predicted) {
        return Duration.ofMillis((long) (predicted.toMillis() * PREDICTION_SHARE))
                .plus(FIRST_SLACK);
    }

    /** Returns how long the pause between two events may be. */
    static Duration pause(Route route) {
        Duration objective = route.pauseObjective().orElse(LEAST_PAUSE);
        Duration usual = Comparators.max(objective.multipliedBy(PAUSES), LEAST_PAUSE);
        Duration leave = Patience.of(route.objective(), route.pauseObjective());
        Duration most = Duration.ofMillis((long) (leave.toMillis() * LEAVE_SHARE));
        return Comparators.min(usual, most);
    }
}
