package org.boragebarrow.peer.link;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a connection whose handshake is not completed in time, even if the peer keeps sending bytes. The handshake
 * removes this handler when it completes.
 */
final class HandshakeTimeout extends ChannelInboundHandlerAdapter {
    private static final long TIMEOUT_SECONDS = 5;

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.executor().schedule(() -> closeUnlessRemoved(context), TIMEOUT_SECONDS, TimeUnit.SECONDS);
        context.fireChannelActive();
    }

    private static void closeUnlessRemoved(ChannelHandlerContext context) {
        if (!context.isRemoved()) {
            context.close();
        }
    }
}
