package org.boragebarrow.decision.observe;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Periods and timeouts of an observer.
 *
 * @param poll between two polls of a target
 * @param pollTimeout after which an unanswered poll counts as failed
 * @param listing between two listings of an engine without orphans
 * @param slack how far past its time limit a sequence or reservation may go before it is cancelled
 * @param firstRetry between the first cancellation of an orphan and the second; doubles up to {@code maxRetry}
 * @param maxRetry the longest time between two cancellations of an orphan
 * @param share between two tellings of unchanged verdicts
 * @param longestRequest the longest time limit that any request may have
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
        checkArgument(poll.toMillis() > 0, "poll period must be positive: %s", poll);
        checkArgument(pollTimeout.toMillis() > 0, "poll timeout must be positive: %s", pollTimeout);
        checkArgument(listing.toMillis() > 0, "listing period must be positive: %s", listing);
        checkArgument(!slack.isNegative(), "slack must not be negative: %s", slack);
        checkArgument(firstRetry.toMillis() > 0, "first retry must be positive: %s", firstRetry);
        checkArgument(maxRetry.compareTo(firstRetry) >= 0, "longest retry %s is below the first", maxRetry);
        checkArgument(share.toMillis() > 0, "share period must be positive: %s", share);
        checkArgument(longestRequest.toMillis() > 0, "longest request must be positive: %s", longestRequest);
    }

    /** Returns settings that see a silent or leaving target within 2 s. */
    public static ObserveSettings defaults() {
        return DEFAULTS;
    }
}
