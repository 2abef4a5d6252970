package org.boragebarrow.http.client;

import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Finds heads that were joined from those of two responses.
 *
 * <p>A server may break off one response within its head and send another one on the same connection. The decoder then
 * takes the second status line for the rest of a reason phrase or of a header's value, and the status of the first response
 * for that of the second.
 */
final class ResponseHeadValidator {
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/[0-9]\\.[0-9] +[0-9]{3}(?![0-9])");

    private ResponseHeadValidator() {}

    /** Returns why the head cannot be relied on, or empty if it can. */
    static Optional<String> findFault(HttpResponse response, Optional<CorrelationId> correlationId) {
        HttpVersion version = response.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return Optional.of("unsupported version " + version);
        }
        if (containsStatusLine(response.status().reasonPhrase())) {
            return Optional.of("status line within the reason phrase");
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (containsStatusLine(header.getKey()) || containsStatusLine(header.getValue())) {
                return Optional.of("status line within the header " + header.getKey());
            }
        }
        return correlationId
                .map(CorrelationId::header)
                .filter(header -> response.headers().getAll(header).size() > 1)
                .map(header -> "several values of " + header);
    }

    private static boolean containsStatusLine(String text) {
        return text.contains("HTTP/") && STATUS_LINE.matcher(text).find();
    }
}
