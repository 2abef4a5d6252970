package org.boragebarrow.peer.link;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes sent and received over all links of one host, excluding the overhead of TCP. Thread-safe. */
@ChannelHandler.Sharable
public final class PeerTraffic extends ChannelDuplexHandler {
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    PeerTraffic() {}

    /** Returns the bytes sent so far. */
    public long sentBytes() {
        return sent.sum();
    }

    /** Returns the bytes received so far. */
    public long receivedBytes() {
        return received.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            received.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sent.add(bytes.readableBytes());
        }
        context.write(message, promise);
    }
}
