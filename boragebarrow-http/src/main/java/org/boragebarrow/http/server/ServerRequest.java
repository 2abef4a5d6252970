package org.boragebarrow.http.server;

import java.nio.ByteBuffer;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;

/**
 * A complete request.
 *
 * @param requestTarget the path and query, as received
 * @param headers names in lower case
 * @param body read-only views of the received bytes
 */
public record ServerRequest(
        String method,
        String requestTarget,
        ImmutableListMultimap<String, String> headers,
        ImmutableList<ByteBuffer> body,
        int bodyBytes) {
    /** Returns the path without the query. */
    public String path() {
        int query = requestTarget.indexOf('?');
        return query < 0 ? requestTarget : requestTarget.substring(0, query);
    }

    /** Returns the first value of a header, or empty if it is missing; the name must be in lower case. */
    public Optional<String> header(String name) {
        return headers.get(name).stream().findFirst();
    }
}
