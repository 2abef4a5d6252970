package org.boragebarrow.http.server;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import com.google.common.base.CharMatcher;
import com.google.common.base.Utf8;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;

/** Finds what the decoder lets pass although two readers could understand it differently. */
final class HeadChecks {
    private static final CharMatcher ASCII = CharMatcher.ascii();

    private HeadChecks() {}

    /** Returns what is wrong with the request's head. */
    static Optional<String> faultOf(HttpRequest request) {
        HttpHeaders headers = request.headers();
        if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
            return Optional.of("content-length is repeated");
        }
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            return Optional.of("transfer-encoding comes with content-length");
        }
        if (!isUtf8(request.uri())) {
            return Optional.of("the request line is not valid UTF-8");
        }
        for (Map.Entry<String, String> header : headers) {
            if (!isUtf8(header.getKey()) || !isUtf8(header.getValue())) {
                return Optional.of("a header is not valid UTF-8");
            }
        }
        return Optional.empty();
    }

    /** The decoder keeps each byte as one character. */
    private static boolean isUtf8(String text) {
        return ASCII.matchesAllOf(text) || Utf8.isWellFormed(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
