package org.boragebarrow.http.server;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.concurrent.Future;

/** Closes a connection whose peer reads none of the pending output for the idle timeout. */
final class WriteStallTimeoutHandler extends ChannelInboundHandlerAdapter {
    private final long timeoutNanos;

    private Future<?> check;
    private Object lastPending;
    private long lastProgress;

    WriteStallTimeoutHandler(ServerLimits limits) {
        this.timeoutNanos = limits.idleTimeout().toNanos();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        check = context.executor()
                .scheduleWithFixedDelay(() -> check(context), timeoutNanos, timeoutNanos, TimeUnit.NANOSECONDS);
        context.fireChannelActive();
    }

    private void check(ChannelHandlerContext context) {
        ChannelOutboundBuffer outboundBuffer = context.channel().unsafe().outboundBuffer();
        Object current = outboundBuffer == null ? null : outboundBuffer.current();
        long progress = current == null ? 0 : outboundBuffer.currentProgress();
        // The first pending part stays the same object until all of it is written to the socket.
        if (current != null && current == lastPending && progress == lastProgress) {
            context.close();
            return;
        }
        lastPending = current;
        lastProgress = progress;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        check.cancel(false);
        lastPending = null;
        context.fireChannelInactive();
    }
}
