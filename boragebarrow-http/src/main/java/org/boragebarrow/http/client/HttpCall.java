package org.boragebarrow.http.client;

import java.nio.ByteBuffer;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An HTTP request to send.
 *
 * @param path the path and query, already percent-encoded
 * @param headers the headers except {@code Content-Length} and {@code Transfer-Encoding}, which are removed or set by
 *     the client; without a {@code Host} header the endpoint is sent as {@code Host}
 * @param body the parts of the body, which are written without copying
 * @param reuseConnection whether the request may be sent on an idle kept-alive connection, which the server may be
 *     closing at that moment
 * @param correlationId how the response is matched to this call; empty if the server responds exactly once and in order
 */
public record HttpCall(
        String method,
        String path,
        ImmutableListMultimap<String, String> headers,
        ImmutableList<ByteBuffer> body,
        boolean reuseConnection,
        Optional<CorrelationId> correlationId) {
    public HttpCall {
        checkNotNull(method);
        checkArgument(path.startsWith("/"), "path must start with a slash: \"%s\"", path);
        checkNotNull(headers);
        checkNotNull(body);
        checkNotNull(correlationId);
    }

    /** Creates a call to a server that responds exactly once and in order. */
    public HttpCall(
            String method,
            String path,
            ImmutableListMultimap<String, String> headers,
            ImmutableList<ByteBuffer> body,
            boolean reuseConnection) {
        this(method, path, headers, body, reuseConnection, Optional.empty());
    }

    /** Returns a call without headers or body that may use an idle kept-alive connection. */
    public static HttpCall of(String method, String path) {
        return new HttpCall(method, path, ImmutableListMultimap.of(), ImmutableList.of(), true);
    }

    /** Returns a copy of this call with the given body. */
    public HttpCall withBody(ByteBuffer... parts) {
        return new HttpCall(method, path, headers, ImmutableList.copyOf(parts), reuseConnection, correlationId);
    }

    /** Returns a copy of this call with the given headers. */
    public HttpCall withHeaders(ImmutableListMultimap<String, String> newHeaders) {
        return new HttpCall(method, path, newHeaders, body, reuseConnection, correlationId);
    }

    /** Returns whether the response has no body, whatever its head says. */
    boolean expectsNoBody() {
        return method.equals("HEAD");
    }

    /** Returns the length of the body, in bytes. */
    public long bodyLength() {
        long length = 0;
        for (ByteBuffer part : body) {
            length += part.remaining();
        }
        return length;
    }
}
