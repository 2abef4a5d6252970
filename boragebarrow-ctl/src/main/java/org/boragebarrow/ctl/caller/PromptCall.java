package org.boragebarrow.ctl.caller;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.OptionalInt;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.model.RequestId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One streamed completion request.
 *
 * @param key the caller's API key
 * @param promptTokens the length of the prompt in tokens, as declared by the caller
 */
public record PromptCall(
        String key, RequestId requestId, ImmutableList<ByteBuffer> body, Duration timeout, OptionalInt promptTokens) {
    /** The header in which a request has its id, and in which hosts return it. */
    static final String REQUEST_ID = "request-id";

    private static final String PATH = "/v1/completions";

    public PromptCall {
        checkNotNull(key);
        checkNotNull(requestId);
        checkNotNull(body);
        checkNotNull(timeout);
        checkNotNull(promptTokens);
    }

    HttpCall toHttp() {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        headers.put("authorization", "Bearer " + key);
        headers.put("content-type", "application/json");
        headers.put(REQUEST_ID, requestId.value());
        headers.put("request-timeout-ms", Long.toString(timeout.toMillis()));
        promptTokens.ifPresent(tokens -> headers.put("prompt-tokens", Integer.toString(tokens)));
        return new HttpCall("POST", PATH, headers.build(), body, true);
    }
}
