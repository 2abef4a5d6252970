package org.boragebarrow.http.server;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;

import com.google.common.collect.ImmutableList;
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

    /** Receives the end of the response. */
    interface CompletionListener {
        /**
         * Called once the response is complete.
         *
         * @param succeeded whether its status is one of success or redirection
         * @param keepAlive whether the connection is kept alive
         */
        void onComplete(boolean succeeded, boolean keepAlive);
    }

    private static final int MIN_ERROR = 400;

    private final Channel channel;
    private final boolean chunksAllowed;
    private final BooleanSupplier keepAliveAllowed;
    private final CompletionListener completion;

    private Runnable closeAction = NO_OP;
    private Runnable writabilityAction = NO_OP;
    private final Queue<Part> queue = new ArrayDeque<>();
    private boolean succeeded;
    private boolean keepAlive;
    private boolean started;
    private boolean endQueued;
    private boolean finished;
    private boolean writingQueue;

    /** A part of the body that waits until the caller has read those before it. */
    private record Part(ByteBuffer bytes, IntConsumer onWritten) {
        void discard() {
            onWritten.accept(bytes.remaining());
        }
    }

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
        return queue.isEmpty() && channel.isWritable();
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
        setHeaders(status, message.headers(), headers, keepAliveAllowed.getAsBoolean());
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.remaining());
        channel.writeAndFlush(message, channel.voidPromise());
        finish();
    }

    @Override
    public void send(
            int status,
            ImmutableListMultimap<String, String> headers,
            ImmutableList<ByteBuffer> body,
            IntConsumer onWritten) {
        if (body.size() <= 1) {
            ByteBuffer only = body.isEmpty() ? ByteBuffer.allocate(0) : body.get(0);
            int size = only.remaining();
            send(status, headers, only);
            onWritten.accept(size);
            return;
        }
        if (started) {
            abort();
        }
        if (isOpen()) {
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            setHeaders(status, head.headers(), headers, keepAliveAllowed.getAsBoolean());
            long length = body.stream().mapToLong(ByteBuffer::remaining).sum();
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            channel.write(head, channel.voidPromise());
            started = true;
        }
        write(body, onWritten);
        end();
    }

    @Override
    public void start(int status, ImmutableListMultimap<String, String> headers) {
        if (!isOpen()) {
            return;
        }
        DefaultHttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        setHeaders(status, message.headers(), headers, chunksAllowed && keepAliveAllowed.getAsBoolean());
        if (chunksAllowed) {
            message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        channel.writeAndFlush(message, channel.voidPromise());
        started = true;
    }

    private void setHeaders(int status, HttpHeaders to, ImmutableListMultimap<String, String> from, boolean keptAlive) {
        for (Map.Entry<String, String> header : from.entries()) {
            to.add(header.getKey(), header.getValue());
        }
        succeeded = status < MIN_ERROR;
        // Stored, so that the connection header agrees with what happens after the response.
        keepAlive = keptAlive;
        to.set(HttpHeaderNames.CONNECTION, keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    }

    @Override
    public void write(ByteBuffer part) {
        if (!isOpen() || !part.hasRemaining()) {
            return;
        }
        if (queue.isEmpty()) {
            writeNow(part);
        } else {
            queue.add(new Part(part, written -> {}));
        }
    }

    private void writeNow(ByteBuffer part) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)), channel.voidPromise());
    }

    @Override
    public void write(ImmutableList<ByteBuffer> parts, IntConsumer onWritten) {
        parts.forEach(part -> queue.add(new Part(part, onWritten)));
        if (isOpen()) {
            writeQueue();
        } else {
            discardQueue();
        }
    }

    /** Writes what is queued, as far as the caller reads it; the end of the body follows if it was queued. */
    private void writeQueue() {
        // Writing may change the writability, which leads back here.
        if (writingQueue) {
            return;
        }
        writingQueue = true;
        while (!queue.isEmpty() && channel.isWritable()) {
            Part part = queue.poll();
            part.onWritten().accept(part.bytes().remaining());
            writeNow(part.bytes());
        }
        writingQueue = false;
        if (endQueued && queue.isEmpty() && isOpen()) {
            writeEnd();
            return;
        }
        // While parts were queued, the response was not writable; the channel need not change any more.
        if (!finished && isWritable()) {
            writabilityAction.run();
        }
    }

    private void discardQueue() {
        while (!queue.isEmpty()) {
            queue.poll().discard();
        }
    }

    @Override
    public void end() {
        if (!isOpen()) {
            return;
        }
        if (queue.isEmpty()) {
            writeEnd();
        } else {
            endQueued = true;
        }
    }

    private void writeEnd() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT, channel.voidPromise());
        finish();
    }

    private void finish() {
        finished = true;
        completion.onComplete(succeeded, keepAlive);
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
        discardQueue();
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
        writeQueue();
        if (!finished) {
            writabilityAction.run();
        }
    }

    void connectionClosed() {
        discardQueue();
        if (!finished) {
            finished = true;
            closeAction.run();
        }
    }
}
