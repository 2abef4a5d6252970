package org.boragebarrow.http.client;

import java.nio.ByteBuffer;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One request to send.
 *
 * @param path the path and query, already percent-encoded
 * @param headers the headers but for {@code Content-Length} and {@code Transfer-Encoding}; the endpoint is sent as
 *     {@code Host} where there is none
 * @param body views that are written as they are, never copied
 * @param reuse whether the request may go out on a kept-alive connection, which the server may just be closing
 * @param check how the answer is told from others; empty where the server answers once and in order
 */
public record HttpCall(
        String method,
        String path,
        ImmutableListMultimap<String, String> headers,
        ImmutableList<ByteBuffer> body,
        boolean reuse,
        Optional<AnswerCheck> check) {
    public HttpCall {
        checkNotNull(method);
        checkArgument(path.startsWith("/"), "path must start with a slash: \"%s\"", path);
        checkNotNull(headers);
        checkNotNull(body);
        checkNotNull(check);
    }

    /** Creates a call to a server that answers once and in order. */
    public HttpCall(
            String method,
            String path,
            ImmutableListMultimap<String, String> headers,
            ImmutableList<ByteBuffer> body,
            boolean reuse) {
        this(method, path, headers, body, reuse, Optional.empty());
    }

    /** Returns a call without headers and body that may use a kept-alive connection. */
    public static HttpCall of(String method, String path) {
        return new HttpCall(method, path, ImmutableListMultimap.of(), ImmutableList.of(), true);
    }

    /** Returns this call with another body. */
    public HttpCall withBody(ByteBuffer... parts) {
        return new HttpCall(method, path, headers, ImmutableList.copyOf(parts), reuse, check);
    }

    /** Returns this call with other headers. */
    public HttpCall withHeaders(ImmutableListMultimap<String, String> others) {
        return new HttpCall(method, path, others, body, reuse, check);
    }

    /** Returns the length of the body, in bytes. */
    public long length() {
        long length = 0;
        for (ByteBuffer part : body) {
            length += part.remaining();
        }
        return length;
    }
}
