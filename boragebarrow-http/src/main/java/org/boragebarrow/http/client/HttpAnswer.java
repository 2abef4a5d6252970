package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.Ascii;
import com.google.common.collect.ImmutableListMultimap;

import static com.google.common.base.Preconditions.checkNotNull;

/** A complete HTTP response. */
public record HttpAnswer(int status, ImmutableListMultimap<String, String> headers, byte[] body) {
    private static final int MIN_SUCCESS = 200;
    private static final int MIN_REDIRECTION = 300;

    public HttpAnswer {
        checkNotNull(headers);
        checkNotNull(body);
    }

    /** Returns whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= MIN_SUCCESS && status < MIN_REDIRECTION;
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the first value of the header; names are case-insensitive. */
    public Optional<String> header(String name) {
        return header(headers, name);
    }

    /** Returns the first value of the named header; names are case-insensitive. */
    public static Optional<String> header(ImmutableListMultimap<String, String> headers, String name) {
        for (Map.Entry<String, String> header : headers.entries()) {
            if (Ascii.equalsIgnoreCase(header.getKey(), name)) {
                return Optional.of(header.getValue());
            }
        }
        return Optional.empty();
    }
}
