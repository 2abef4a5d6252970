package org.boragebarrow.http.codec;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class FieldLimitsTest {
    private static EmbeddedChannel decode(String response) {
        HttpDecoderConfig config = new HttpDecoderConfig()
                .setHeadersFactory(LimitedFields.of(3))
                .setTrailersFactory(DiscardedTrailers.INSTANCE);
        EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseDecoder(config));
        channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
        return channel;
    }

    @Example
    void aHeadWithAsManyFieldsAsAllowedIsDecoded() {
        HttpResponse head = decode("HTTP/1.1 200 OK\r\na: 1\r\na: 2\r\nContent-Length: 0\r\n\r\n")
                .readInbound();

        assertThat(head.decoderResult().isSuccess()).isTrue();
        assertThat(head.headers().getAll("a")).containsExactly("1", "2").inOrder();
    }

    @Example
    void aHeadWithMoreFieldsIsMalformed() {
        HttpResponse head =
                decode("HTTP/1.1 200 OK\r\na: 1\r\nb: 2\r\nc: 3\r\nd:\r\n\r\n").readInbound();

        assertThat(head.decoderResult().cause()).hasMessageThat().isEqualTo("more than 3 fields");
    }

    @Example
    void theFieldsOfTrailersAreDiscardedAndTheBodyEnds() {
        EmbeddedChannel channel = decode(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: 1\r\n folded\r\nb: 2\r\n\r\nHTTP/1.1 404 No\r\n\r\n");
        HttpResponse head = channel.readInbound();
        LastHttpContent end = channel.readInbound();
        HttpResponse next = channel.readInbound();

        assertThat(head.decoderResult().isSuccess()).isTrue();
        assertThat(end.decoderResult().isSuccess()).isTrue();
        assertThat(end.trailingHeaders()).isEmpty();
        assertThat(next.status().code()).isEqualTo(404);
    }
}
