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

/** One connection, which carries one call at a time or lies idle in the pool; confined to its event loop. */
final class Connection extends ChannelInboundHandlerAdapter {
    private final Endpoint endpoint;
    private final IdlePool pool;
    private final Duration maxIdle;
    private Optional<ActiveCall> current = Optional.empty();
    private Optional<Future<?>> expiry = Optional.empty();

    Connection(Endpoint endpoint, IdlePool pool, Duration maxIdle) {
        this.endpoint = endpoint;
        this.pool = pool;
        this.maxIdle = maxIdle;
    }

    void attach(ActiveCall call) {
        expiry.ifPresent(timer -> timer.cancel(false));
        expiry = Optional.empty();
        current = Optional.of(call);
    }

    /** Ends the present call and keeps the connection for the next one. */
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
     * Closes the connection in the middle of a call, dropping what the network has not delivered: behind a network partition
     * a request would otherwise arrive when the partition heals, long after its caller left.
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
        current.ifPresent(call -> call.fail("connection to " + endpoint + " closed before the answer was whole"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pool.remove(endpoint, ctx.channel());
        current.ifPresent(call -> call.fail("connection to " + endpoint + " failed: " + cause));
        ctx.close();
    }
}
