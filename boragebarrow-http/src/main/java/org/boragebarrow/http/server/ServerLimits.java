package org.boragebarrow.http.server;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits of one listening port.
 *
 * @param maxConnections maximum number of open connections; a further one takes the place of one that never completed a
 *     request, or is closed at once
 * @param maxHeaderBytes maximum bytes of the request line and, separately, of all headers
 * @param maxBodyBytes maximum bytes of one body
 * @param maxBufferedBytes maximum bytes that all requests hold at the same time; a quarter is kept for short requests
 * @param idleTimeout how long a connection may send nothing of an expected request, or read nothing of its response
 * @param receiveTimeout how long a request may take from its first to its last byte; each
 *     {@link #MIN_BODY_BYTES_PER_SECOND} received bytes of its body extend it by a second
 */
public record ServerLimits(
        int maxConnections,
        int maxHeaderBytes,
        int maxBodyBytes,
        long maxBufferedBytes,
        Duration idleTimeout,
        Duration receiveTimeout) {
    /** The minimum average rate at which a body must be received. */
    public static final int MIN_BODY_BYTES_PER_SECOND = 64 << 10;

    private static final ServerLimits DEFAULTS =
            new ServerLimits(10_000, 16 << 10, 16 << 20, 256L << 20, Duration.ofSeconds(60), Duration.ofSeconds(30));

    public ServerLimits {
        checkArgument(maxConnections > 0, "connections must be positive: %s", maxConnections);
        checkArgument(maxHeaderBytes > 0, "header bytes must be positive: %s", maxHeaderBytes);
        checkArgument(maxBodyBytes > 0, "body bytes must be positive: %s", maxBodyBytes);
        checkArgument(
                MemoryAccount.limitOfLongRequests(maxBufferedBytes) >= maxBodyBytes,
                "three quarters of the buffered bytes %s must not be less than body bytes %s",
                maxBufferedBytes,
                maxBodyBytes);
        checkArgument(idleTimeout.toMillis() > 0, "idle timeout must be positive: %s", idleTimeout);
        checkArgument(receiveTimeout.toMillis() > 0, "receive timeout must be positive: %s", receiveTimeout);
    }

    /** Returns the limits for a small entry host. */
    public static ServerLimits defaults() {
        return DEFAULTS;
    }
}
