package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Passes bytes on to the decoder only while a call is in progress; others end the connection. */
final class InputMonitor extends ChannelInboundHandlerAdapter {
    static final int MAX_SHOWN_BYTES = 64;

    private final Connection connection;

    InputMonitor(Connection connection) {
        this.connection = connection;
    }

    /** Returns the first bytes as ASCII text with a dot for each other or unprintable character. */
    static String show(ByteBuf bytes) {
        return show(bytes.toString(
                bytes.readerIndex(), Math.min(bytes.readableBytes(), MAX_SHOWN_BYTES), StandardCharsets.ISO_8859_1));
    }

    /** Returns the first characters, with a dot for each that is not printable ASCII. */
    static String show(String text) {
        return text.substring(0, Math.min(text.length(), MAX_SHOWN_BYTES)).replaceAll("[^ -~]", ".");
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (connection.isIdle() && message instanceof ByteBuf bytes) {
            connection.onIdleBytes(context.channel(), bytes.readableBytes(), show(bytes));
            bytes.release();
            return;
        }
        context.fireChannelRead(message);
    }
}
