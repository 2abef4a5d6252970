package org.boragebarrow.decision.routing;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits on the requests and connections of a caller.
 *
 * @param headerTimeout the longest time until the headers of a request have arrived
 * @param idleTimeout the longest time that a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    public CallerLimits {
        checkArgument(maxHeaderBytes > 0, "header bytes must be positive: %s", maxHeaderBytes);
        checkArgument(maxBodyBytes > 0, "body bytes must be positive: %s", maxBodyBytes);
    }
}
