package org.boragebarrow.decision.observe;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The intervals and timeouts of an observer.
 *
 * @param pollInterval the interval between two polls of a target
 * @param pollTimeout the time after which an unanswered poll is treated as failed
 * @param listingInterval the interval between two listings of an engine that has no orphans
 * @param slack the time by which a sequence or reservation may exceed its time limit before it is cancelled
 * @param initialRetryDelay the delay between the first two cancellations of an orphan; it doubles up to the maximum
 * @param maxRetryDelay the maximum delay between two cancellations of an orphan
 * @param shareInterval the interval at which unchanged statuses are sent again
 * @param maxTimeLimit the maximum time limit of a request
 */
public record ObserveSettings(
        Duration pollInterval,
        Duration pollTimeout,
        Duration listingInterval,
        Duration slack,
        Duration initialRetryDelay,
        Duration maxRetryDelay,
        Duration shareInterval,
        Duration maxTimeLimit) {
    private static final ObserveSettings DEFAULTS = new ObserveSettings(
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofSeconds(2),
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofSeconds(2),
            Duration.ofMinutes(30));

    public ObserveSettings {
        checkArgument(pollInterval.toMillis() > 0, "poll interval must be positive: %s", pollInterval);
        checkArgument(pollTimeout.toMillis() > 0, "poll timeout must be positive: %s", pollTimeout);
        checkArgument(listingInterval.toMillis() > 0, "listing interval must be positive: %s", listingInterval);
        checkArgument(!slack.isNegative(), "slack must not be negative: %s", slack);
        checkArgument(initialRetryDelay.toMillis() > 0, "initial retry delay must be positive: %s", initialRetryDelay);
        checkArgument(
                maxRetryDelay.compareTo(initialRetryDelay) >= 0,
                "maximum retry delay %s is below the initial one",
                maxRetryDelay);
        checkArgument(shareInterval.toMillis() > 0, "share interval must be positive: %s", shareInterval);
        checkArgument(maxTimeLimit.toMillis() > 0, "maximum time limit must be positive: %s", maxTimeLimit);
    }

    /** Returns settings with which an unresponsive or leaving target is detected within 2 s. */
    public static ObserveSettings defaults() {
        return DEFAULTS;
    }
}
