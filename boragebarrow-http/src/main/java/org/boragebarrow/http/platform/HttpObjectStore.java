package org.boragebarrow.http.platform;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.net.UrlEscapers;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.boragebarrow.http.client.HttpAnswer;
import org.boragebarrow.http.client.HttpCall;
import org.boragebarrow.http.client.HttpClient;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.ObjectStore;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Accesses the object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
    private final PlatformCalls calls;

    /** Creates an adapter whose calls fail if they are not answered within the timeout. */
    public HttpObjectStore(HttpClient client, Endpoint endpoint, Duration timeout) {
        calls = new PlatformCalls(client, endpoint, timeout);
    }

    @Override
    public CompletableFuture<Void> put(String key, byte[] bytes) {
        checkNotNull(bytes);
        return exchangeForSuccess(HttpCall.of("PUT", path(key)).withBody(ByteBuffer.wrap(bytes)));
    }

    @Override
    public CompletableFuture<Optional<byte[]>> get(String key) {
        CompletableFuture<HttpAnswer> answerFuture = calls.exchange(HttpCall.of("GET", path(key)));
        return PlatformCalls.parse(answerFuture, HttpObjectStore::readObject);
    }

    @Override
    public CompletableFuture<Void> delete(String key) {
        return exchangeForSuccess(HttpCall.of("DELETE", path(key)));
    }

    private CompletableFuture<Void> exchangeForSuccess(HttpCall call) {
        return PlatformCalls.parse(calls.exchange(call), PlatformCalls::successBody)
                .thenApply(body -> null);
    }

    private static Optional<byte[]> readObject(HttpAnswer answer) {
        if (answer.status() == HttpResponseStatus.NOT_FOUND.code()) {
            return Optional.empty();
        }
        return Optional.of(PlatformCalls.successBody(answer));
    }

    private static String path(String key) {
        checkArgument(!key.isEmpty(), "the key is empty");
        return "/objects/" + UrlEscapers.urlPathSegmentEscaper().escape(key);
    }
}
