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
 * @param idle how long a connection may send nothing while a request is expected or incomplete
 */
public record ServerLimits(
        int maxConnections, int maxHeaderBytes, int maxBodyBytes, long maxBufferedBytes, Duration idle) {
    private static final ServerLimits DEFAULTS =
            new ServerLimits(10_000, 16 << 10, 16 << 20, 256L << 20, Duration.ofSeconds(60));

    public ServerLimits {
        checkArgument(maxConnections > 0, "connections must be positive: %s", maxConnections);
        checkArgument(maxHeaderBytes > 0, "header bytes must be positive: %s", maxHeaderBytes);
        checkArgument(maxBodyBytes > 0, "body bytes must be positive: %s", maxBodyBytes);
        checkArgument(maxBufferedBytes >= maxBodyBytes, "all bodies %s below one: %s", maxBufferedBytes, maxBodyBytes);
        checkArgument(idle.toMillis() > 0, "idle time must be positive: %s", idle);
    }

    /** Returns the bounds for a small entry host. */
    public static ServerLimits defaults() {
        return DEFAULTS;
    }
}
