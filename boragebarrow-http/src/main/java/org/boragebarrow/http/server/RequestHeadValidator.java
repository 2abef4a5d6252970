package org.boragebarrow.http.server;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import com.google.common.base.CharMatcher;
import com.google.common.base.Utf8;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;

/** Detects request heads that the decoder accepts, but that two HTTP implementations could interpret differently. */
final class RequestHeadValidator {
    private static final CharMatcher ASCII = CharMatcher.ascii();

    /** What a header ends with if the head before it was cut and the next request completed it. */
    private static final Pattern REQUEST_LINE_AT_END = Pattern.compile("\\S (/\\S*|\\*|\\w+://\\S+) HTTP/1\\.[01]$");

    private RequestHeadValidator() {}

    /** Returns a description of the first error in the request's head, or empty if it is valid. */
    static Optional<String> findError(HttpRequest request) {
        if (request.method().equals(HttpMethod.CONNECT)) {
            return Optional.of("CONNECT is not supported");
        }
        HttpHeaders headers = request.headers();
        if (headers.getAll(HttpHeaderNames.CONTENT_LENGTH).size() > 1) {
            return Optional.of("content-length is repeated");
        }
        if (headers.contains(HttpHeaderNames.TRANSFER_ENCODING) && headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            return Optional.of("transfer-encoding and content-length are both present");
        }
        if (headers.getAll(HttpHeaderNames.HOST).size() > 1) {
            return Optional.of("host is repeated");
        }
        if (!isUtf8(request.uri())) {
            return Optional.of("the request line is not valid UTF-8");
        }
        for (Map.Entry<String, String> header : headers) {
            if (!isUtf8(header.getKey()) || !isUtf8(header.getValue())) {
                return Optional.of("a header is not valid UTF-8");
            }
            if (endsWithRequestLine(header.getValue())) {
                return Optional.of("a request line is within a header");
            }
        }
        return Optional.empty();
    }

    private static boolean endsWithRequestLine(String value) {
        // Few values contain the version, so that the pattern is rarely needed.
        return value.contains(" HTTP/1.") && REQUEST_LINE_AT_END.matcher(value).find();
    }

    /** Returns whether the bytes of the text are valid UTF-8; the decoder maps each byte to one character. */
    private static boolean isUtf8(String text) {
        return ASCII.matchesAllOf(text) || Utf8.isWellFormed(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
