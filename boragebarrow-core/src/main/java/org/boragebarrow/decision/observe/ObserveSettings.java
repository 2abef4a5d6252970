package org.boragebarrow.decision.observe;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The intervals and timeouts of an observer.
 *
 * @param poll the interval between two polls of a target
 * @param pollTimeout the time after which an unanswered poll counts as failed
 * @param listing the interval between two listings of an engine that has no orphans
 * @param slack the time by which a sequence or reservation may exceed its time limit before it is cancelled
 * @param firstRetry the delay between the first and the second cancellation of an orphan; it doubles up to {@code
 *     maxRetryDelay}
 * @param maxRetry the maximum delay between two cancellations of an orphan
 * @param share the interval at which unchanged statuses are sent again
 * @param longestRequest the maximum time limit of a request
 */
public record ObserveSettings(
        Duration poll,
        Duration pollTimeout,
        Duration listing,
        Duration slack,
        Duration firstRetry,
        Duration maxRetry,
        Duration share,
        Duration longestRequest) {
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
        checkArgument(poll.toMillis() > 0, "poll interval must be positive: %s", poll);
        checkArgument(pollTimeout.toMillis() > 0, "poll timeout must be positive: %s", pollTimeout);
        checkArgument(listing.toMillis() > 0, "listing interval must be positive: %s", listing);
        checkArgument(!slack.isNegative(), "slack must not be negative: %s", slack);
        checkArgument(firstRetry.toMillis() > 0, "initial retry delay must be positive: %s", firstRetry);
        checkArgument(maxRetry.compareTo(firstRetry) >= 0, "maximum retry delay %s is below the initial one", maxRetry);
        checkArgument(share.toMillis() > 0, "share interval must be positive: %s", share);
        checkArgument(longestRequest.toMillis() > 0, "maximum time limit must be positive: %s", longestRequest);
    }

    /** Returns settings with which an unresponsive or leaving target is detected within 2 s. */
    public static ObserveSettings defaults() {
        return DEFAULTS;
    }
}
