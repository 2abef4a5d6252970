package org.boragebarrow.http.client;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of the connections that one client opens.
 *
 * @param connect how long a connection may take to be established
 * @param maxIdle how long an idle connection is kept for the next call
 * @param probes whether the kernel probes silent connections, so that one whose peer vanished fails within seconds
 * @param closeDelimited whether an answer may tell neither a length nor chunks and end with its connection
 */
public record ClientLimits(Duration connect, Duration maxIdle, boolean probes, boolean closeDelimited) {
    private static final ClientLimits DEFAULTS =
            new ClientLimits(Duration.ofSeconds(2), Duration.ofSeconds(20), false, false);

    public ClientLimits {
        checkArgument(connect.toMillis() > 0, "connect time must be positive: %s", connect);
        checkArgument(!maxIdle.isNegative(), "negative idle time: %s", maxIdle);
    }

    /** Returns the bounds for servers of the same site. */
    public static ClientLimits defaults() {
        return DEFAULTS;
    }
}
