package org.boragebarrow.node.relay;

import java.time.Duration;

import com.google.common.collect.Comparators;
import org.boragebarrow.decision.routing.AbandonmentTime;
import org.boragebarrow.decision.routing.Route;

/**
 * Computes how long a target may be unresponsive before the request is tried on another target.
 *
 * <p>Load pattern: a target stops responding without closing its connections, while passes of other targets are long
 * because of the prefill of long prompts. An overdue first event is awaited for as long as the caller certainly waits,
 * unless another target could still be on time: another attempt starts the prefill from the beginning, which delays all
 * requests under load.
 */
final class StallTimeouts {
    /** A first event may take twice the prediction plus the longest ordinary pass. */
    private static final int PREDICTION_FACTOR = 2;

    private static final Duration FIRST_EVENT_SLACK = Duration.ofMillis(1_000);

    /** A pause of this many times the objective exceeds any ordinary pass. */
    private static final int PAUSE_OBJECTIVE_FACTOR = 4;

    /**
     * Leaves time for another target: callers wait two seconds at least, and a target responds to a short prompt in a
     * few hundred milliseconds.
     */
    private static final Duration MIN_TIMEOUT = Duration.ofMillis(1_300);

    /** Passes take up to this much longer than predicted: the assigner does not know of slow targets. */
    private static final double PAUSE_MARGIN_FACTOR = 1.15;

    /** The network and the timers of the hosts on the way. */
    private static final Duration PAUSE_SLACK = Duration.ofMillis(100);

    /** Fraction of the caller's abandonment time after which too little time remains for another target. */
    private static final double ABANDONMENT_FRACTION = 0.65;

    private StallTimeouts() {}

    /** Returns how long the first event may take. */
    static Duration firstEventTimeout(Route route, Duration predicted) {
        Duration ordinary =
                Comparators.max(predicted.multipliedBy(PREDICTION_FACTOR).plus(FIRST_EVENT_SLACK), MIN_TIMEOUT);
        boolean otherCouldBeOnTime = ordinary.plus(predicted).compareTo(route.objective()) < 0;
        return otherCouldBeOnTime ? clamp(route, ordinary) : maxTimeout(route);
    }

    /** Returns how long the pause between two events may be. */
    static Duration pauseTimeout(Route route) {
        return clamp(route, route.pauseObjective().orElse(Duration.ZERO).multipliedBy(PAUSE_OBJECTIVE_FACTOR));
    }

    /**
     * Returns how long the target may be unresponsive while its prefill of other prompts is predicted to take the given
     * time: the ordinary timeout if the caller would disconnect before the end.
     */
    static Duration extended(Route route, Duration ordinary, Duration predicted) {
        Duration needed = Duration.ofMillis((long) (predicted.toMillis() * PAUSE_MARGIN_FACTOR))
                .plus(PAUSE_SLACK);
        Duration abandonment = AbandonmentTime.of(route.objective(), route.pauseObjective());
        return needed.compareTo(abandonment) < 0 ? Comparators.max(ordinary, needed) : ordinary;
    }

    private static Duration clamp(Route route, Duration ordinary) {
        return Comparators.min(Comparators.max(ordinary, MIN_TIMEOUT), maxTimeout(route));
    }

    private static Duration maxTimeout(Route route) {
        Duration abandonment = AbandonmentTime.of(route.objective(), route.pauseObjective());
        long millis = Comparators.min(abandonment, route.timeout()).toMillis();
        return Duration.ofMillis((long) (millis * ABANDONMENT_FRACTION));
    }
}
