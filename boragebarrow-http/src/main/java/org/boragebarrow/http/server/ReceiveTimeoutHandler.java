package org.boragebarrow.http.server;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;

/**
 * Limits the time from a request's first byte to its last, so that a caller that sends slowly cannot occupy a
 * connection.
 *
 * <p>Fires {@link Expired} through the pipeline. The handler must be placed before the decoder, because a head that
 * never becomes complete is visible only there.
 */
final class ReceiveTimeoutHandler extends ChannelInboundHandlerAdapter {
    /** The event that is fired when the timeout has expired. */
    record Expired() {}

    private static final Expired EXPIRED = new Expired();

    private final long timeoutNanos;

    private ChannelHandlerContext context;
    private Future<?> timeoutTask;

    ReceiveTimeoutHandler(ServerLimits limits) {
        this.timeoutNanos = limits.receiveTimeout().toNanos();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext addedContext) {
        context = addedContext;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (timeoutTask == null) {
            restart();
        }
        context.fireChannelRead(message);
    }

    /** Restarts the full timeout. */
    void restart() {
        extend(timeoutNanos);
    }

    /** Restarts the timeout with the given duration. */
    void extend(long extensionNanos) {
        stop();
        timeoutTask = context.executor().schedule(this::fireExpired, extensionNanos, TimeUnit.NANOSECONDS);
    }

    /** Cancels the timeout; it starts again at the next received byte. */
    void stop() {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
            timeoutTask = null;
        }
    }

    private void fireExpired() {
        timeoutTask = null;
        context.fireUserEventTriggered(EXPIRED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        stop();
        context.fireChannelInactive();
    }
}
