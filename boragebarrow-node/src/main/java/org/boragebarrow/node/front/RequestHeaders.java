package org.boragebarrow.node.front;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.Ints;
import org.boragebarrow.http.server.ServerRequest;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.Ids;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.RequestId;

/** Parses and validates the request headers that the system interprets. */
final class RequestHeaders {
    static final String AUTHORIZATION = "authorization";
    static final String REQUEST_ID = "request-id";
    static final String IDEMPOTENCY_KEY = "idempotency-key";

    private static final String TIMEOUT = "request-timeout-ms";
    private static final String PROMPT_TOKENS = "prompt-tokens";
    private static final ImmutableSet<String> SINGLE_VALUED =
            ImmutableSet.of(AUTHORIZATION, REQUEST_ID, IDEMPOTENCY_KEY, TIMEOUT, PROMPT_TOKENS, "content-type", "host");

    private RequestHeaders() {}

    /** Throws if a header that may occur only once is repeated. */
    static void checkSingle(ServerRequest request) {
        for (String name : SINGLE_VALUED) {
            if (request.headers().get(name).size() > 1) {
                throw badRequest("the header " + name + " is repeated");
            }
        }
    }

    static Optional<RequestId> requestId(ServerRequest request) {
        Optional<String> text = request.header(REQUEST_ID);
        if (text.isPresent() && !Ids.isValid(text.get())) {
            throw badRequest("request-id is not 1 to " + Ids.MAX_LENGTH + " printable ASCII characters");
        }
        return text.map(RequestId::of);
    }

    /** Returns the idempotency key, or empty if the header is missing. */
    static Optional<String> idempotencyKey(ServerRequest request) {
        Optional<String> key = request.header(IDEMPOTENCY_KEY);
        if (key.isPresent() && !Ids.isValid(key.get())) {
            throw badRequest("idempotency-key is not 1 to " + Ids.MAX_LENGTH + " printable ASCII characters");
        }
        return key;
    }

    /** Returns the request's time limit: the requested one, at most the plan's maximum, or else the plan's default. */
    static Duration timeout(ServerRequest request, Allowance allowance) {
        Optional<Integer> millis = positiveInteger(request, TIMEOUT);
        if (millis.isEmpty()) {
            return allowance.defaultTimeout();
        }
        Duration requested = Duration.ofMillis(millis.get());
        return requested.compareTo(allowance.maxTimeout()) > 0 ? allowance.maxTimeout() : requested;
    }

    static Optional<Integer> promptTokens(ServerRequest request) {
        return positiveInteger(request, PROMPT_TOKENS);
    }

    private static Optional<Integer> positiveInteger(ServerRequest request, String name) {
        ImmutableList<String> values = request.headers().get(name);
        if (values.isEmpty()) {
            return Optional.empty();
        }
        Integer value = Ints.tryParse(values.get(0).trim());
        if (value == null || value <= 0) {
            throw badRequest(name + " is not a positive integer");
        }
        return Optional.of(value);
    }

    private static RequestException badRequest(String message) {
        return RequestException.of(ErrorKind.BAD_REQUEST, message);
    }
}
