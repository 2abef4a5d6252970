package org.boragebarrow.decision.routing;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a service's targets bear just after their start.
 *
 * @param duration the time after its start for which a target is cold
 * @param requestsPerSecond the requests a second that a cold target bears, of all hosts together
 */
public record ColdStart(Duration duration, double requestsPerSecond) {
    public ColdStart {
        checkArgument(!duration.isNegative(), "negative duration: %s", duration);
        checkArgument(
                requestsPerSecond > 0 && Double.isFinite(requestsPerSecond),
                "requests a second must be positive and finite: %s",
                requestsPerSecond);
    }
}
