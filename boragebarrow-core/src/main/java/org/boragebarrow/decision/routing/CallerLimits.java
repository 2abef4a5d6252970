package org.boragebarrow.decision.routing;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits on the requests and connections of a caller.
 *
 * @param receive the longest time until the headers of a request have arrived
 * @param idle the longest time that a connection stays open without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration receive, Duration idle) {
    public CallerLimits {
        checkArgument(headerBytes > 0, "header bytes must be positive: %s", headerBytes);
        checkArgument(bodyBytes > 0, "body bytes must be positive: %s", bodyBytes);
    }
}
