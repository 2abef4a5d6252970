package org.boragebarrow.node.relay;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Locale;

import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.node.front.ErrorBodies;

/** Sends the error responses that the host generates itself. */
public final class ErrorResponses {
    private static final double MILLIS_PER_SECOND = 1_000;

    private ErrorResponses() {}

    /** Sends the failure's status and body; a retry delay is sent in seconds with a fraction. */
    public static void send(ServerResponse response, RequestException failure) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        headers.put("content-type", "application/json");
        failure.retryAfter().ifPresent(delay -> headers.put("retry-after", formatSeconds(delay)));
        response.send(failure.kind().status(), headers.build(), ByteBuffer.wrap(ErrorBodies.of(failure)));
    }

    private static String formatSeconds(Duration delay) {
        return String.format(Locale.ROOT, "%.3f", delay.toMillis() / MILLIS_PER_SECOND);
    }
}
