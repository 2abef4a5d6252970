package org.boragebarrow.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.EvictingQueue;
import io.netty.buffer.Unpooled;
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
    /** The number of last calls whose late responses are expected. */
    private static final int MAX_RECENT_IDS = 16;

    private final long number;
    private final Endpoint endpoint;
    private final IdleConnectionPool pool;
    private final Duration idleTimeout;
    private final UnexpectedBytes.Listener unexpectedBytes;
    private final long openedAt = System.nanoTime();
    private final Queue<String> recentIds = EvictingQueue.create(MAX_RECENT_IDS);
    private int uses;
    private long idleBytes;
    private Optional<ActiveCall> currentCall = Optional.empty();
    private Optional<Future<?>> idleTimer = Optional.empty();

    Connection(
            long number,
            Endpoint endpoint,
            IdleConnectionPool pool,
            Duration idleTimeout,
            UnexpectedBytes.Listener unexpectedBytes) {
        this.number = number;
        this.endpoint = endpoint;
        this.pool = pool;
        this.idleTimeout = idleTimeout;
        this.unexpectedBytes = unexpectedBytes;
    }

    boolean isIdle() {
        return currentCall.isEmpty();
    }

    /** Describes the origin of a response that arrives now. */
    ResponseOrigin origin(String reasonPhrase, int skippedResponses) {
        Duration age = Duration.ofNanos(System.nanoTime() - openedAt);
        return new ResponseOrigin(number, uses, age, idleBytes, skippedResponses, reasonPhrase);
    }

    /** Returns whether a call with the id, one of the last ones, was sent on this connection. */
    boolean hasCarried(String id) {
        return recentIds.contains(id);
    }

    /** Returns whether a response to the current call has no body, whatever its head says. */
    boolean expectsNoBody() {
        return currentCall.map(ActiveCall::expectsNoBody).orElse(false);
    }

    /**
     * Closes the connection because of bytes that belong to no call.
     *
     * <p>A decoder would hold a part of a response until the next one completes it.
     */
    void onIdleBytes(Channel channel, int bytes, String start) {
        idleBytes += bytes;
        report(UnexpectedBytes.State.IDLE, bytes, start);
        pool.remove(endpoint, channel);
        close(channel);
    }

    /**
     * Returns whether the call may be sent; closes the connection if not, as after unexpected bytes or its end, or if a late
     * response to an earlier call could be taken for that to this one.
     */
    boolean prepareReuse(Channel channel, ActiveCall call) {
        if (call.correlationId().filter(recentIds::contains).isPresent()) {
            close(channel);
            return false;
        }
        ByteBuffer received = ByteBuffer.allocate(InputMonitor.MAX_SHOWN_BYTES);
        int bytes;
        try {
            bytes = ((ClientSocketChannel) channel).readReceived(received);
        } catch (IOException e) {
            close(channel);
            return false;
        }
        if (bytes > 0) {
            onIdleBytes(channel, bytes, InputMonitor.show(Unpooled.wrappedBuffer(received.flip())));
        } else if (bytes < 0) {
            close(channel);
        }
        return bytes == 0;
    }

    /** Reports a response to another call that arrived during the current one. */
    void onOtherResponse(String start) {
        report(UnexpectedBytes.State.IN_CALL, 0, start);
    }

    /** Reports a head that was joined from two or is ambiguous. */
    void onRejectedHead(String start) {
        report(UnexpectedBytes.State.IN_HEAD, 0, start);
    }

    private void report(UnexpectedBytes.State state, long bytes, String start) {
        unexpectedBytes.onUnexpectedBytes(new UnexpectedBytes(endpoint, number, uses, state, bytes, start));
    }

    void attach(ActiveCall call) {
        idleTimer.ifPresent(timer -> timer.cancel(false));
        idleTimer = Optional.empty();
        currentCall = Optional.of(call);
        call.correlationId().ifPresent(recentIds::add);
        uses++;
    }

    /**
     * Detaches the current call and returns the connection to the pool; closes it if the pool rejects it, or if more than the
     * response was received.
     */
    void release(Channel channel) {
        currentCall = Optional.empty();
        ResponseDecoder decoder = channel.pipeline().get(ResponseDecoder.class);
        if (decoder.unreadBytes() > 0) {
            onIdleBytes(channel, decoder.unreadBytes(), InputMonitor.show(decoder.unreadStart()));
            return;
        }
        channel.config().setAutoRead(true);
        idleTimer = Optional.of(channel.eventLoop()
                .schedule(() -> closeIfIdle(channel), idleTimeout.toMillis(), TimeUnit.MILLISECONDS));
        if (!pool.offer(endpoint, channel)) {
            close(channel);
        }
    }

    void close(Channel channel) {
        idleTimer.ifPresent(timer -> timer.cancel(false));
        currentCall = Optional.empty();
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

    private void closeIfIdle(Channel channel) {
        if (pool.remove(endpoint, channel)) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            currentCall.ifPresent(call -> call.receive((HttpObject) message));
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        currentCall.ifPresent(ActiveCall::writeMore);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        pool.remove(endpoint, ctx.channel());
        idleTimer.ifPresent(timer -> timer.cancel(false));
        currentCall.ifPresent(call ->
                call.failDisconnected("connection to " + endpoint + " closed before the response was complete"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        pool.remove(endpoint, ctx.channel());
        currentCall.ifPresent(call -> call.failDisconnected("connection to " + endpoint + " failed: " + cause));
        ctx.close();
    }
}
