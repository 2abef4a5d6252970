package org.boragebarrow.http.client;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of the connections that one client opens.
 *
 * @param connectTimeout the maximum time to establish a connection
 * @param idleTimeout how long an idle connection is kept for reuse
 * @param tcpKeepAlive whether TCP keep-alive is enabled with short intervals, so that a connection fails within seconds
 *     when its peer becomes unreachable
 * @param allowCloseDelimited whether a response with neither {@code Content-Length} nor chunked encoding is accepted;
 *     it ends when the server closes the connection, not when it resets it
 */
public record ClientLimits(
        Duration connectTimeout, Duration idleTimeout, boolean tcpKeepAlive, boolean allowCloseDelimited) {
    private static final ClientLimits DEFAULTS =
            new ClientLimits(Duration.ofSeconds(2), Duration.ofSeconds(20), false, false);

    public ClientLimits {
        checkArgument(connectTimeout.toMillis() > 0, "connect timeout must be positive: %s", connectTimeout);
        checkArgument(!idleTimeout.isNegative(), "idle timeout must not be negative: %s", idleTimeout);
    }

    /** Returns the limits for servers of the same site. */
    public static ClientLimits defaults() {
        return DEFAULTS;
    }
}
