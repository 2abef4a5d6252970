package org.boragebarrow.http.server;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** Writes one response to a channel. */
final class ChannelResponse implements ServerResponse {
    private static final Runnable NO_OP = () -> {};

    /** Receives whether the connection is kept alive after the response. */
    interface CompletionListener {
        void onComplete(boolean keepAlive);
    }

    private final Channel channel;
    private final boolean chunksAllowed;
    private final BooleanSupplier keepAliveAllowed;
    private final CompletionListener completion;

    private Runnable closeAction = NO_OP;
    private Runnable writabilityAction = NO_OP;
    private boolean keepAlive;
    private boolean started;
    private boolean finished;

    /**
     * Creates a response.
     *
     * @param chunksAllowed whether the caller knows chunks; otherwise the end of the connection ends the body
     */
    ChannelResponse(
            Channel channel, boolean chunksAllowed, BooleanSupplier keepAliveAllowed, CompletionListener completion) {
        this.channel = channel;
        this.chunksAllowed = chunksAllowed;
        this.keepAliveAllowed = keepAliveAllowed;
        this.completion = completion;
    }

    @Override
    public EventLoop eventLoop() {
        return channel.eventLoop();
    }

    @Override
    public boolean isOpen() {
        return !finished && channel.isActive();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void send(int status, ImmutableListMultimap<String, String> headers, ByteBuffer body) {
        if (started) {
            // The caller would parse a second head as part of the body.
            abort();
        }
        if (!isOpen()) {
            return;
        }
        DefaultFullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        setHeaders(message.headers(), headers, keepAliveAllowed.getAsBoolean());
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.remaining());
        channel.writeAndFlush(message, channel.voidPromise());
        finish();
    }

    @Override
    public void start(int status, ImmutableListMultimap<String, String> headers) {
        if (!isOpen()) {
            return;
        }
        DefaultHttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        setHeaders(message.headers(), headers, chunksAllowed && keepAliveAllowed.getAsBoolean());
        if (chunksAllowed) {
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        channel.writeAndFlush(message, channel.voidPromise());
        started = true;
    }

    private void setHeaders(HttpHeaders to, ImmutableListMultimap<String, String> from, boolean keptAlive) {
        for (Map.Entry<String, String> header : from.entries()) {
            to.add(header.getKey(), header.getValue());
        }
        // Stored, so that the connection header agrees with what happens after the response.
        keepAlive = keptAlive;
        to.set(HttpHeaderNames.CONNECTION, keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    }

    @Override
    public void write(ByteBuffer part) {
        if (isOpen() && part.hasRemaining()) {
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)), channel.voidPromise());
        }
    }

    @Override
    public void end() {
        if (!isOpen()) {
            return;
        }
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, channel.voidPromise());
        finish();
    }

    private void finish() {
        finished = true;
        completion.onComplete(keepAlive);
    }

    @Override
    public void abort() {
        if (isOpen()) {
            finished = true;
            if (started && !chunksAllowed) {
                // An orderly end of the connection would end the body as if it were whole.
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }
    }

    @Override
    public void onClose(Runnable action) {
        closeAction = action;
    }

    @Override
    public void onWritabilityChanged(Runnable action) {
        writabilityAction = action;
    }

    void writabilityChanged() {
        if (!finished) {
            writabilityAction.run();
        }
    }

    void connectionClosed() {
        if (!finished) {
            finished = true;
            closeAction.run();
        }
    }
}
