package org.boragebarrow.http.server;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of one listening port.
 *
 * @param maxConnections connections beyond this are closed at once
 * @param maxHeaderBytes bytes of the request line and of all headers
 * @param maxBodyBytes bytes of one body
 * @param maxBufferedBytes bytes of all bodies that are held at once
 * @param idle how long a connection may send nothing while a request is expected, or take nothing of its answer
 * @param receive how long one request may take to arrive; each {@link #MIN_BODY_BYTES_PER_SECOND} received bytes of its
 *     body add a second
 */
public record ServerLimits(
        int maxConnections,
        int maxHeaderBytes,
        int maxBodyBytes,
        long maxBufferedBytes,
        Duration idle,
        Duration receive) {
    /** The rate that a body must at least reach in the long run. */
    public static final int MIN_BODY_BYTES_PER_SECOND = 64 << 10;

    private static final ServerLimits DEFAULTS =
            new ServerLimits(10_000, 16 << 10, 16 << 20, 256L << 20, Duration.ofSeconds(60), Duration.ofSeconds(30));

    public ServerLimits {
        checkArgument(maxConnections > 0, "connections must be positive: %s", maxConnections);
        checkArgument(maxHeaderBytes > 0, "header bytes must be positive: %s", maxHeaderBytes);
        checkArgument(maxBodyBytes > 0, "body bytes must be positive: %s", maxBodyBytes);
        checkArgument(maxBufferedBytes >= maxBodyBytes, "all bodies %s below one: %s", maxBufferedBytes, maxBodyBytes);
        checkArgument(idle.toMillis() > 0, "idle time must be positive: %s", idle);
        checkArgument(receive.toMillis() > 0, "receiving time must be positive: %s", receive);
    }

    /** Returns the bounds for a small entry host. */
    public static ServerLimits defaults() {
        return DEFAULTS;
    }
}
