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

/** Calls one endpoint of the platform with one timeout. */
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

    /** Returns a future that completes with the parsed answer, or fails if there is none or it makes no sense. */
    static <T> CompletableFuture<T> parse(
            CompletableFuture<HttpAnswer> answered,
            Function<HttpAnswer, T> parser,
            Function<String, RuntimeException> failures) {
        CompletableFuture<T> parsed = new CompletableFuture<>();
        answered.whenComplete((answer, failure) -> {
            if (failure != null) {
                parsed.completeExceptionally(failures.apply(failure.getMessage()));
                return;
            }
            try {
                parsed.complete(parser.apply(answer));
            } catch (RuntimeException e) {
                parsed.completeExceptionally(failures.apply(String.valueOf(e.getMessage())));
            }
        });
        return parsed;
    }

    /** Returns a future that completes with the parsed answer, or fails with {@link HttpCallException}. */
    static <T> CompletableFuture<T> parse(CompletableFuture<HttpAnswer> answered, Function<HttpAnswer, T> parser) {
        return parse(answered, parser, message -> new HttpCallException(true, message));
    }

    /** Returns the body as a message; fails unless the status tells of success. */
    static <T> T message(HttpAnswer answer, Class<T> type) {
        return PlatformJson.read(body(answer), type);
    }

    /** Returns the body; fails unless the status tells of success. */
    static byte[] body(HttpAnswer answer) {
        checkArgument(answer.isSuccess(), "the platform answered with status %s", answer.status());
        return answer.body();
    }
}
