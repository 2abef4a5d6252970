package org.boragebarrow.node.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.http.server.ServerResponse;
import org.boragebarrow.model.ExecutionStatus;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.RequestId;

/** Writes error responses in the format that all responses of the system share. */
public final class ErrorBodies {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorBodies() {}

    /** Sends the failure's status, headers and body. */
    public static void send(ServerResponse response, RequestException failure, Optional<RequestId> request) {
        send(response, failure, request, bytes(failure, false));
    }

    /**
     * Sends the failure of a call with an idempotency key.
     *
     * @param claimed whether the claim was verified to be held by this attempt; otherwise the state of other attempts
     *     is unknown, and the response states that this attempt did not run
     */
    static void sendKeyed(ServerResponse response, RequestException failure, RequestId request, boolean claimed) {
        send(response, failure, Optional.of(request), bytes(failure, !claimed));
    }

    /**
     * Sends the refusal of a call with an idempotency key whose claim has not been read, so that the state of other
     * attempts is unknown.
     */
    static void sendKeyedRefusal(ServerResponse response, RequestException failure, Optional<RequestId> request) {
        RequestException reported = failure.withUnknownExecutionStatus();
        send(response, reported, request, bytes(reported, true));
    }

    private static void send(
            ServerResponse response, RequestException failure, Optional<RequestId> request, byte[] body) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        headers.put("content-type", "application/json");
        request.ifPresent(id -> headers.put("request-id", id.value()));
        failure.retryAfter().ifPresent(delay -> {
            long seconds = (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.put("retry-after", Long.toString(seconds));
        });
        response.send(failure.kind().status(), headers.build(), ByteBuffer.wrap(body));
    }

    /** Returns the response body for a request without an idempotency key. */
    public static byte[] of(RequestException failure) {
        return bytes(failure, false);
    }

    /** Returns the event that ends a stream of which a part has been sent. */
    static byte[] event(RequestException failure) {
        String json = new String(bytes(failure, false), StandardCharsets.UTF_8);
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body; {@code thisNotRun} adds the statement that this attempt did not run. */
    static byte[] bytes(RequestException failure, boolean thisNotRun) {
        ObjectNode body = JSON.createObjectNode();
        ObjectNode error = body.putObject("error");
        error.put("kind", failure.kind().name());
        error.put("message", failure.getMessage());
        error.put("ran", failure.executionStatus().name().toLowerCase(Locale.ROOT));
        error.put("retryable", failure.kind().retryable());
        if (thisNotRun) {
            error.put("this_attempt", ExecutionStatus.NO.name().toLowerCase(Locale.ROOT));
        }
        failure.retryAfter().ifPresent(delay -> error.put("retry_after_ms", delay.toMillis()));
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }
}
