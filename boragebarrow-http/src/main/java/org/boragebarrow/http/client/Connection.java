package org.boragebarrow.http.client;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import org.boragebarrow.model.Endpoint;

/** A connection that carries one call at a time or is idle in the pool; confined to its event loop. */
final class Connection extends ChannelInboundHandlerAdapter {
    private final Endpoint endpoint;
    private final IdlePool pool;
    private final Duration maxIdle;
    private Optional<ActiveCall> current = Optional.empty();
    private Optional<Future<?>> expiry = Optional.empty();

    Connection(Endpoint endpoint, IdlePool pool, Duration idleTimeout) {
        this.endpoint = endpoint;
        this.pool = pool;
        this.maxIdle = idleTimeout;
    }

    void attach(ActiveCall call) {
        expiry.ifPresent(timer -> timer.cancel(false));
        expiry = Optional.empty();
        current = Optional.of(call);
    }

    /** Detaches the current call and returns the connection to the pool, or closes it if the pool rejects it. */
    void release(Channel channel) {
        current = Optional.empty();
        channel.config().setAutoRead(true);
        expiry = Optional.of(
                channel.eventLoop().schedule(() -> expire(channel), maxIdle.toMillis(), TimeUnit.MILLISECONDS));
        if (!pool.offer(endpoint, channel)) {
            close(channel);
        }
    }

    void close(Channel channel) {
        expiry.ifPresent(timer -> timer.cancel(false));
        current = Optional.empty();
        channel.close();
    }

    /**
     * Closes the connection in the middle of a call and discards bytes that are not yet delivered.
     *
     * <p>Without this, a request sent during a network partition would arrive when the partition heals, long after its
     * caller disconnected.
     */
    void reset(Channel channel) {
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        close(channel);
    }

    private void expire(Channel channel) {
        if (pool.remove(endpoint, channel)) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (current.isEmpty()) {
                pool.remove(endpoint, ctx.channel());
                ctx.close();
                return;
            }
            current.get().receive((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        current.ifPresent(ActiveCall::writeMore);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(endpoint, ctx.channel());
        expiry.ifPresent(timer -> timer.cancel(false));
        current.ifPresent(call -> call.fail("connection to " + endpoint + " closed before the response was complete"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pool.remove(endpoint, ctx.channel());
        current.ifPresent(call -> call.fail("connection to " + endpoint + " failed: " + cause));
        ctx.close();
    }
}
