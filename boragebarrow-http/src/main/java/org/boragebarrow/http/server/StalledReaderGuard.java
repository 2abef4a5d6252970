package org.boragebarrow.http.server;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.concurrent.Future;

/** Closes a connection whose peer takes none of the waiting bytes for the idle time. */
final class StalledReaderGuard extends ChannelInboundHandlerAdapter {
    private final long idleNanos;

    private Future<?> check;
    private Object first;
    private long taken;

    StalledReaderGuard(ServerLimits limits) {
        this.idleNanos = limits.idle().toNanos();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        check = context.executor()
                .scheduleWithFixedDelay(() -> check(context), idleNanos, idleNanos, TimeUnit.NANOSECONDS);
        context.fireChannelActive();
    }

    private void check(ChannelHandlerContext context) {
        ChannelOutboundBuffer waiting = context.channel().unsafe().outboundBuffer();
        Object head = waiting == null ? null : waiting.current();
        long progress = head == null ? 0 : waiting.currentProgress();
        // The first waiting part stays the same object until the peer took all of it.
        if (head != null && head == first && progress == taken) {
            context.close();
            return;
        }
        first = head;
        taken = progress;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        check.cancel(false);
        first = null;
        context.fireChannelInactive();
    }
}
