package org.boragebarrow.decision.routing;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What a caller may send.
 *
 * @param receive how long the head of a request may take to arrive
 * @param idle how long a connection may stay open without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration receive, Duration idle) {
    public CallerLimits {
        checkArgument(headerBytes > 0, "header bytes must be positive: %s", headerBytes);
        checkArgument(bodyBytes > 0, "body bytes must be positive: %s", bodyBytes);
    }
}
