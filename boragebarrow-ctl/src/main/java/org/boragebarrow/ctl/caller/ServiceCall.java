package org.boragebarrow.ctl.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.model.RequestId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One call of a plain service.
 *
 * @param key the caller's API key
 * @param path the path and query at the service, which start with a slash
 * @param idempotencyKey identifies the call in all its attempts
 */
public record ServiceCall(
        String key,
        RequestId requestId,
        ServiceName service,
        String method,
        String path,
        String body,
        Duration timeout,
        Optional<String> idempotencyKey) {
    public ServiceCall {
        checkNotNull(key);
        checkNotNull(requestId);
        checkNotNull(service);
        checkNotNull(method);
        checkNotNull(path);
        checkNotNull(body);
        checkNotNull(timeout);
        checkNotNull(idempotencyKey);
    }

    HttpCall toHttp() {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        headers.put("authorization", "Bearer " + key);
        headers.put("content-type", "application/json");
        headers.put(PromptCall.REQUEST_ID, requestId.value());
        headers.put("request-timeout-ms", Long.toString(timeout.toMillis()));
        idempotencyKey.ifPresent(id -> headers.put("idempotency-key", id));
        ImmutableList<ByteBuffer> bytes = body.isEmpty()
                ? ImmutableList.of()
                : ImmutableList.of(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
        // Only a GET may reuse a connection: a call with effects, such as a booking, must not be sent on one that the
        // host may be closing.
        return new HttpCall(method, "/services/" + service + path, headers.build(), bytes, method.equals("GET"));
    }
}
