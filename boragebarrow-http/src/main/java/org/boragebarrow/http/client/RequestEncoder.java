package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Encodes requests whose target has one character for each byte, as the decoder of requests makes it: bytes that are no ASCII pass
 * unchanged, where the base class would encode their characters anew.
 */
final class RequestEncoder extends HttpRequestEncoder {
    private static final byte SPACE = ' ';
    private static final byte[] LINE_END = {'\r', '\n'};

    @Override
    protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
        buffer.writeCharSequence(request.method().asciiName(), StandardCharsets.US_ASCII);
        buffer.writeByte(SPACE);
        buffer.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
        buffer.writeByte(SPACE);
        buffer.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        buffer.writeBytes(LINE_END);
    }
}
