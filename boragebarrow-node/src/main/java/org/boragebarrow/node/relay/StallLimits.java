package org.boragebarrow.node.relay;

import java.time.Duration;

import com.google.common.collect.Comparators;
import org.boragebarrow.decision.routing.Patience;
import org.boragebarrow.decision.routing.Route;

/**
 * How long a target may stay silent before the request is tried elsewhere.
 *
 * <p>Load pattern: a target that goes dark without closing its connections, beside targets whose passes are long because
 * long prompts are read. A first event that is overdue is waited for as long as the caller surely stays, unless another
 * target could still be on time: an attempt that is given up is read again from its start, which under load delays all.
 */
final class StallLimits {
    /** What a first event may take: twice the prediction, and the longest ordinary pass. */
    private static final int PREDICTIONS = 2;

    private static final Duration FIRST_SLACK = Duration.ofMillis(1_000);

    /** A pause this many times the objective is no ordinary pass. */
    private static final int PAUSES = 4;

    /** Another target answers a short prompt within a few hundred milliseconds; the rest of two seconds is waited. */
    private static final Duration LEAST = Duration.ofMillis(1_300);

    /** The part of the time until the caller leaves after which too little is left for another target. */
    private static final double LEAVE_SHARE = 0.65;

    private StallLimits() {}

    /** Returns how long the first event may take. */
    static Duration first(Route route, Duration predicted) {
        Duration usual = Comparators.max(predicted.multipliedBy(PREDICTIONS).plus(FIRST_SLACK), LEAST);
        boolean anotherOnTime = usual.plus(predicted).compareTo(route.objective()) < 0;
        return anotherOnTime ? within(route, usual) : most(route);
    }

    /** Returns how long the pause between two events may be. */
    static Duration pause(Route route) {
        return within(route, route.pauseObjective().orElse(Duration.ZERO).multipliedBy(PAUSES));
    }

    private static Duration within(Route route, Duration usual) {
        return Comparators.min(Comparators.max(usual, LEAST), most(route));
    }

    private static Duration most(Route route) {
        Duration leave = Patience.of(route.objective(), route.pauseObjective());
        long millis = Comparators.min(leave, route.timeout()).toMillis();
        return Duration.ofMillis((long) (millis * LEAVE_SHARE));
    }
}
