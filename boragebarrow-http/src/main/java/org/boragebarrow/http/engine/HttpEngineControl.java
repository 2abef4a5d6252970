package org.boragebarrow.http.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpCallException;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.Target;
import org.boragebarrow.port.EngineControl;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Controls engines over HTTP; futures fail with {@link HttpCallException}. */
public final class HttpEngineControl implements EngineControl {
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final String GET = "GET";
    private static final String DELETE = "DELETE";
    private static final ImmutableListMultimap<String, String> CLOSE_CONNECTION =
            ImmutableListMultimap.of("Connection", "close");

    private final HttpClient client;
    private final Duration timeout;

    /** Creates an adapter; each call fails if no complete response arrives within the timeout. */
    public HttpEngineControl(HttpClient client, Duration timeout) {
        this.client = checkNotNull(client);
        this.timeout = checkNotNull(timeout);
    }

    @Override
    public CompletableFuture<LoadReport> load(Target engine) {
        return get(engine, EngineProtocol.LOAD, EngineMessages::readLoad);
    }

    @Override
    public CompletableFuture<Holdings> holdings(Target engine) {
        return get(engine, EngineProtocol.HOLDINGS, EngineMessages::readHoldings);
    }

    @Override
    public CompletableFuture<CacheEvents> cacheEvents(Target engine, long after) {
        return get(engine, EngineProtocol.CACHE_EVENTS + "?after=" + after, EngineMessages::readCacheEvents);
    }

    @Override
    public CompletableFuture<Void> cancel(Target engine, AttemptId attempt) {
        return delete(engine, EngineProtocol.itemPath(EngineProtocol.SEQUENCES, attempt));
    }

    @Override
    public CompletableFuture<Void> release(Target engine, AttemptId attempt) {
        return delete(engine, EngineProtocol.itemPath(EngineProtocol.RESERVATIONS, attempt));
    }

    @Override
    public CompletableFuture<Void> deleteExport(Target engine, String export) {
        return delete(engine, EngineProtocol.itemPath(EngineProtocol.EXPORTS, export));
    }

    @Override
    public CompletableFuture<Boolean> reserve(Target engine, AttemptId attempt, long tokens, Duration timeToLive) {
        checkArgument(tokens > 0, "tokens must be positive: %s", tokens);
        String path = EngineProtocol.itemPath(EngineProtocol.RESERVATIONS, attempt);
        return trySend(engine, "PUT", path, EngineMessages.writeReservation(tokens, timeToLive));
    }

    @Override
    public CompletableFuture<Boolean> order(Target engine, Order order, long fencingNumber) {
        return trySend(engine, "POST", EngineProtocol.ORDERS, EngineMessages.write(order, fencingNumber));
    }

    private <T> CompletableFuture<T> get(Target engine, String path, Function<JsonNode, T> decoder) {
        return client.exchange(engine.endpoint(), HttpCall.of(GET, path), timeout)
                .thenApply(answer -> decode(engine, path, answer, decoder));
    }

    private static <T> T decode(Target engine, String path, HttpAnswer answer, Function<JsonNode, T> decoder) {
        if (!answer.isSuccess()) {
            throw unexpectedStatus(engine, path, answer);
        }
        try {
            return decoder.apply(EngineMessages.parse(answer.body()));
        } catch (RuntimeException e) {
            throw new HttpCallException(true, engine.id() + " " + path + ": malformed response: " + e.getMessage());
        }
    }

    private CompletableFuture<Void> delete(Target engine, String path) {
        return client.exchange(engine.endpoint(), command(DELETE, path), timeout)
                .thenAccept(answer -> {
                    if (!answer.isSuccess() && answer.status() != NOT_FOUND) {
                        throw unexpectedStatus(engine, path, answer);
                    }
                });
    }

    private CompletableFuture<Boolean> trySend(Target engine, String method, String path, JsonNode body) {
        HttpCall call = command(method, path, ByteBuffer.wrap(body.toString().getBytes(StandardCharsets.UTF_8)));
        return client.exchange(engine.endpoint(), call, timeout).thenApply(answer -> {
            if (!answer.isSuccess() && answer.status() != CONFLICT) {
                throw unexpectedStatus(engine, path, answer);
            }
            return answer.isSuccess();
        });
    }

    /**
     * Returns a call on a connection of its own.
     *
     * <p>Only the status of the response counts, and it has no id: on a kept-alive connection, a late response to an earlier
     * call would be taken for it.
     */
    private static HttpCall command(String method, String path, ByteBuffer... body) {
        return new HttpCall(method, path, CLOSE_CONNECTION, ImmutableList.copyOf(body), false);
    }

    private static HttpCallException unexpectedStatus(Target engine, String path, HttpAnswer answer) {
        return new HttpCallException(true, engine.id() + " " + path + ": unexpected status " + answer.status());
    }
}
