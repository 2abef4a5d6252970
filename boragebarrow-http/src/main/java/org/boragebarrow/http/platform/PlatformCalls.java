package org.boragebarrow.http.platform;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpCallException;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Calls one endpoint of the platform, each time with the same timeout. */
final class PlatformCalls {
    private static final ImmutableListMultimap<String, String> JSON_HEADERS = ImmutableListMultimap.of(
            HttpHeaderNames.CONTENT_TYPE.toString(), HttpHeaderValues.APPLICATION_JSON.toString());

    private final HttpClient client;
    private final Endpoint endpoint;
    private final Duration timeout;

    PlatformCalls(HttpClient client, Endpoint endpoint, Duration timeout) {
        checkArgument(timeout.isPositive(), "timeout must be positive: %s", timeout);
        this.client = checkNotNull(client);
        this.endpoint = checkNotNull(endpoint);
        this.timeout = timeout;
    }

    CompletableFuture<HttpAnswer> post(String path, Object message) {
        byte[] json = PlatformJson.write(message);
        HttpCall call = HttpCall.of("POST", path).withHeaders(JSON_HEADERS).withBody(ByteBuffer.wrap(json));
        return exchange(call);
    }

    CompletableFuture<HttpAnswer> exchange(HttpCall call) {
        return client.exchange(endpoint, call, timeout);
    }

    /** Returns a future that completes with the parsed response, or fails if the call or the parser fails. */
    static <T> CompletableFuture<T> parse(
            CompletableFuture<HttpAnswer> answerFuture,
            Function<HttpAnswer, T> parser,
            Function<String, RuntimeException> toException) {
        CompletableFuture<T> parsed = new CompletableFuture<>();
        answerFuture.whenComplete((answer, failure) -> {
            if (failure != null) {
                parsed.completeExceptionally(toException.apply(failure.getMessage()));
                return;
            }
            try {
                parsed.complete(parser.apply(answer));
            } catch (RuntimeException e) {
                parsed.completeExceptionally(toException.apply(String.valueOf(e.getMessage())));
            }
        });
        return parsed;
    }

    /** Returns a future that completes with the parsed response, or fails with {@link HttpCallException}. */
    static <T> CompletableFuture<T> parse(CompletableFuture<HttpAnswer> answerFuture, Function<HttpAnswer, T> parser) {
        return parse(answerFuture, parser, message -> new HttpCallException(true, message));
    }

    /**
     * Parses the body as a message.
     *
     * @throws IllegalArgumentException if the status is not a success, or the body is not a message of this type
     */
    static <T> T readMessage(HttpAnswer answer, Class<T> type) {
        return PlatformJson.read(successBody(answer), type);
    }

    /**
     * Returns the body.
     *
     * @throws IllegalArgumentException if the status is not a success
     */
    static byte[] successBody(HttpAnswer answer) {
        checkArgument(answer.isSuccess(), "the platform returned status %s", answer.status());
        return answer.body();
    }
}
