package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Guards against heads that are joined from the beginning of one response and another whole one. */
class ResponseHeadValidatorTest {
    private static final Optional<CorrelationId> ID = Optional.of(new CorrelationId("Request-Id", "b"));
    private static final String FAILURE =
            "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: b\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";
    private static final List<String> SUCCESSES = List.of(
            "HTTP/1.1 200 OK\r\nSignature: r\r\nRequest-Id: a\r\nContent-Length: 3\r\nLast: x\r\n\r\n",
            "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nLast: x\r\n y\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.1 200\r\nLast:x\r\n\r\n",
            "HTTP/1.0 200 OK\r\nA: HTTP/1.1\r\nB: 1: 2\r\n\r\n");

    private static Optional<HttpResponse> decode(String bytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder());
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        HttpResponse response = channel.readInbound();
        channel.finishAndReleaseAll();
        return Optional.ofNullable(response);
    }

    private static boolean isAccepted(String bytes) {
        return decode(bytes)
                .filter(response -> !response.decoderResult().isFailure())
                .filter(response ->
                        ResponseHeadValidator.findFault(response, ID).isEmpty())
                .isPresent();
    }

    @Example
    void aHeadThatIsJoinedFromAnyPartOfAnotherIsRejected() {
        for (String success : SUCCESSES) {
            int headLength = success.length() - "\r\n".length();
            for (int length = 1; length < headLength; length++) {
                String fragment = success.substring(0, length);

                assertWithMessage(fragment).that(isAccepted(fragment + FAILURE)).isFalse();
                assertWithMessage(fragment)
                        .that(isAccepted(fragment + FAILURE.replace(" Internal Server Error", "")))
                        .isFalse();
                assertWithMessage(fragment)
                        .that(isAccepted(fragment + FAILURE.replace("Internal", "x: y")))
                        .isFalse();
            }
        }
    }

    @Example
    void anOrdinaryHeadIsAccepted() {
        assertThat(isAccepted(FAILURE)).isTrue();
        assertThat(isAccepted("HTTP/1.0 200 \r\nContent-Length: 1\r\n\r\nx")).isTrue();
        assertThat(isAccepted("HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nRequest-Id: b\r\n\r\n"))
                .isTrue();
        assertThat(isAccepted("HTTP/1.1 200 OK\r\nUpgrade: HTTP/2.0, 1234\r\n\r\n"))
                .isTrue();
    }

    @Example
    void aHeadWithTwoLengthsOrTwoIdsIsRejected() {
        assertThat(isAccepted("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"))
                .isFalse();
        assertThat(isAccepted("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nRequest-Id: b\r\n\r\n"))
                .isFalse();
        assertThat(isAccepted("HTTP/2.0 200 OK\r\n\r\n")).isFalse();
    }
}
