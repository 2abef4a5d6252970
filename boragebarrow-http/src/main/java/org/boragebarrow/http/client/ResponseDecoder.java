package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.base.CharMatcher;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/** Decodes the responses on one connection; knows what was received after the end of the last one. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_START_BYTES = 4 << 10;
    private static final int STATUS_DIGITS = 3;
    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');

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

    /**
     * Completes a response that ends with its connection, if the server ended it.
     *
     * <p>A failed write closes the channel without an error on its input, so that a reset, or a close by this side, would otherwise
     * look like the end.
     */
    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (((ClientSocketChannel) context.channel()).isEndOfInput()) {
            super.decodeLast(context, in, out);
        }
    }

    /** Creates the message from the status line; throws if the status is not three digits of one of the five classes. */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        String status = statusLine[1];
        if (!isStatus(status)) {
            throw new IllegalArgumentException(
                    "status \"" + InputMonitor.show(status) + "\" is not three digits from 100 to 599");
        }
        return super.createMessage(statusLine);
    }

    private static boolean isStatus(String text) {
        return text.length() == STATUS_DIGITS
                && text.charAt(0) >= '1'
                && text.charAt(0) <= '5'
                && DIGITS.matchesAllOf(text);
    }

    /**
     * Returns the name of a field; throws if anything but the colon follows it.
     *
     * <p>The decoder ends names in responses at the first blank, and would drop what comes between that and the colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("blank in the name of a field that begins with \""
                    + InputMonitor.show(new String(line, start, length, StandardCharsets.ISO_8859_1)) + "\"");
        }
        return super.splitHeaderName(line, start, length);
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
