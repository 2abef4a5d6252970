package org.boragebarrow.http.server;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;

/**
 * Bounds the time from a request's first byte to its last, so that a trickle cannot hold a connection.
 *
 * <p>Fires {@link Expired} up the pipeline. Stands before the decoder, because a head that never becomes whole is seen
 * only there.
 */
final class ReceiveClock extends ChannelInboundHandlerAdapter {
    /** The event that tells that the time is over. */
    record Expired() {}

    private static final Expired EXPIRED = new Expired();

    private final long limitNanos;

    private ChannelHandlerContext context;
    private Future<?> alarm;

    ReceiveClock(ServerLimits limits) {
        this.limitNanos = limits.receive().toNanos();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (alarm == null) {
            restart();
        }
        context.fireChannelRead(message);
    }

    /** Starts the time anew. */
    void restart() {
        extend(limitNanos);
    }

    /** Lets the time be over after what was granted. */
    void extend(long grantedNanos) {
        stop();
        alarm = context.executor().schedule(this::expire, grantedNanos, TimeUnit.NANOSECONDS);
    }

    /** Stops until the next byte. */
    void stop() {
        if (alarm != null) {
            alarm.cancel(false);
            alarm = null;
        }
    }

    private void expire() {
        alarm = null;
        context.fireUserEventTriggered(EXPIRED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        stop();
        context.fireChannelInactive();
    }
}
