package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Decodes the responses on one connection; knows what was received after the end of the last one. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_START_BYTES = 4 << 10;

    private final Connection connection;
    private int unreadBytes;
    private String unreadStart = "";

    ResponseDecoder(HttpDecoderConfig config, Connection connection) {
        super(config);
        this.connection = connection;
    }

    /** Returns the number of bytes that had been received after the end of the last response when it was decoded. */
    int unreadBytes() {
        return unreadBytes;
    }

    /** Returns the first of these bytes, one character each. */
    String unreadStart() {
        return unreadStart;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        super.decode(context, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            unreadBytes = in.readableBytes();
            unreadStart =
                    in.toString(in.readerIndex(), Math.min(unreadBytes, MAX_START_BYTES), StandardCharsets.ISO_8859_1);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("Content-Length beside Transfer-Encoding");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean informational = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return super.isContentAlwaysEmpty(message) || (!informational && connection.expectsNoBody());
    }
}
