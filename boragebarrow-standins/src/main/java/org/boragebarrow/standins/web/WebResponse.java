package org.boragebarrow.standins.web;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

/**
 * The response to one request, either sent at once or streamed in chunks.
 *
 * <p>Thread-safe. Data that is written after the connection has closed is discarded.
 */
public final class WebResponse {
    private static final String JSON = "application/json";

    private final Channel channel;
    private final boolean keepAlive;
    private final Runnable onDone;
    private boolean started;
    private boolean done;

    WebResponse(Channel channel, boolean keepAlive, Runnable onDone) {
        this.channel = channel;
        this.keepAlive = keepAlive;
        this.onDone = onDone;
    }

    /** Sends a complete response whose only header, besides those of the framing, is the content type. */
    public void send(int status, String contentType, byte[] body) {
        send(status, ImmutableListMultimap.of(HttpHeaderNames.CONTENT_TYPE.toString(), contentType), body);
    }

    /** Sends a complete response. */
    public void send(int status, ImmutableListMultimap<String, String> headers, byte[] body) {
        checkNotNull(headers);
        checkNotNull(body);
        onEventLoop(() -> {
            start();
            FullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            headers.forEach(message.headers()::add);
            HttpUtil.setContentLength(message, body.length);
            HttpUtil.setKeepAlive(message, keepAlive);
            finish(message);
        });
    }

    /** Sends a complete response with a JSON body. */
    public void sendJson(int status, JsonNode body) {
        send(status, JSON, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Declares the length of the full body but sends only its first bytes, then closes the connection. */
    public void sendTruncated(int status, String contentType, byte[] body, int bytes) {
        checkArgument(
                bytes >= 0 && bytes < body.length, "sent length must be below body length %s: %s", body.length, bytes);
        onEventLoop(() -> {
            start();
            HttpResponse head = head(status, contentType);
            HttpUtil.setContentLength(head, body.length);
            channel.write(head);
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, bytes)))
                    .addListener(ChannelFutureListener.CLOSE);
            done = true;
        });
    }

    /** Sends the head of a streamed response. */
    public void startStream(int status, String contentType) {
        checkNotNull(contentType);
        onEventLoop(() -> {
            start();
            HttpResponse head = head(status, contentType);
            HttpUtil.setTransferEncodingChunked(head, true);
            HttpUtil.setKeepAlive(head, keepAlive);
            channel.writeAndFlush(head, channel.voidPromise());
        });
    }

    /** Sends one chunk of a streamed response. */
    public void write(String text) {
        ByteBuf chunk = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        onEventLoop(() -> {
            if (done) {
                chunk.release();
                return;
            }
            checkState(started, "response stream has not been started");
            channel.writeAndFlush(new DefaultHttpContent(chunk), channel.voidPromise());
        });
    }

    /** Ends a streamed response. */
    public void end() {
        onEventLoop(() -> {
            if (!done) {
                finish(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        });
    }

    /** Resets the connection without completing the response. */
    public void abort() {
        onEventLoop(() -> {
            done = true;
            if (!channel.isActive()) {
                return;
            }
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        });
    }

    /** Runs the action on the event loop once the connection has closed, even if the response was complete. */
    public void onClose(Runnable action) {
        channel.closeFuture().addListener(closed -> action.run());
    }

    /** Returns whether the connection is still open. */
    public boolean isOpen() {
        return channel.isActive();
    }

    boolean started() {
        return started;
    }

    private void start() {
        checkState(!started, "response has already been started");
        started = true;
    }

    private void finish(Object last) {
        done = true;
        channel.writeAndFlush(last)
                .addListener(keepAlive ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
        onDone.run();
    }

    private static HttpResponse head(int status, String contentType) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        return head;
    }

    private void onEventLoop(Runnable task) {
        if (channel.eventLoop().inEventLoop()) {
            task.run();
        } else {
            channel.eventLoop().execute(task);
        }
    }
}
