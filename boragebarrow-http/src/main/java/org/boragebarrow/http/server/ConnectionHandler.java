package org.boragebarrow.http.server;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.RequestException;

/**
 * Assembles one request at a time and passes it to the {@link ServerHandler}. Pipelined requests wait in a bounded
 * queue until the preceding response is complete.
 */
final class ConnectionHandler extends ChannelInboundHandlerAdapter {
    /** The number of queued parts of pipelined requests at which the connection is no longer read. */
    private static final int MAX_QUEUED_PARTS = 64;

    /**
     * How long a connection whose output was shut down is still read while the caller sends nothing. Closing it at once
     * could reset it before the caller has read the response.
     */
    private static final long LINGER_IDLE_MILLIS = 5_000;

    /** How long such a connection is read in total, so that a caller that never stops sending cannot hold it. */
    private static final long MAX_LINGER_MILLIS = 30_000;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Another host can handle the request at once. */
    private static final Duration STOPPING_RETRY_DELAY = Duration.ofMillis(50);

    private final ServerLimits limits;
    private final ServerHandler handler;
    private final BodyBudget budget;
    private final ReceiveTimeoutHandler receiveTimeout;
    private final BooleanSupplier draining;
    private final Deque<HttpObject> queuedParts = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private HttpRequest head;
    private BodyBuffer body;
    private long bodyBytesAtLastTimeout;
    private int bodyBytes;
    private ChannelResponse response;
    private boolean closing;
    private boolean refusedIncomplete;
    private boolean refusing;
    private boolean receivedSinceLingerCheck;

    ConnectionHandler(
            ServerLimits limits,
            ServerHandler handler,
            BodyBudget budget,
            ReceiveTimeoutHandler receiveTimeout,
            BooleanSupplier draining) {
        this.limits = limits;
        this.handler = handler;
        this.budget = budget;
        this.receiveTimeout = receiveTimeout;
        this.draining = draining;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext addedContext) {
        context = addedContext;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        HttpObject part = (HttpObject) message;
        if (closing) {
            receivedSinceLingerCheck = true;
            ReferenceCountUtil.release(part);
            return;
        }
        if (isBusy()) {
            queuedParts.add(part);
            if (queuedParts.size() >= MAX_QUEUED_PARTS) {
                context.channel().config().setAutoRead(false);
            }
            return;
        }
        acceptPart(part);
    }

    /** Returns whether a response is in progress, or requests that were received during the last one are still queued. */
    private boolean isBusy() {
        return response != null || !queuedParts.isEmpty();
    }

    private void acceptPart(HttpObject part) {
        DecoderResult result = part.decoderResult();
        if (result.isFailure()) {
            refuse(malformedRequest(result.cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            beginRequest(request);
        }
        if (part instanceof HttpContent content) {
            appendBody(content);
            content.release();
        }
    }

    private static RequestException malformedRequest(Throwable cause) {
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        ErrorKind kind = tooLong ? ErrorKind.REQUEST_TOO_LARGE : ErrorKind.BAD_REQUEST;
        return RequestException.of(kind, "malformed HTTP request: " + cause.getMessage());
    }

    private void beginRequest(HttpRequest request) {
        head = request;
        body = new BodyBuffer();
        bodyBytes = 0;
        bodyBytesAtLastTimeout = 0;
        Optional<String> error = RequestHeadValidator.findError(request);
        if (error.isPresent()) {
            refuse(RequestException.of(ErrorKind.BAD_REQUEST, error.get()));
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            refuse(bodyTooLarge());
            return;
        }
        boolean waitsForContinue = HttpUtil.is100ContinueExpected(request);
        if (refusing && waitsForContinue) {
            refuse(shuttingDown());
            return;
        }
        if (waitsForContinue) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void appendBody(HttpContent content) {
        if (closing) {
            return;
        }
        if (refusing && !(content instanceof LastHttpContent)) {
            refuse(shuttingDown());
            return;
        }
        ByteBuf bytes = content.content();
        int size = bytes.readableBytes();
        if (bodyBytes + size > limits.maxBodyBytes()) {
            refuse(bodyTooLarge());
            return;
        }
        if (!budget.tryAcquire(size)) {
            refuse(RequestException.of(ErrorKind.OVERLOADED, "the host's buffer for request bodies is full"));
            return;
        }
        bodyBytes += size;
        body.add(bytes);
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private RequestException bodyTooLarge() {
        return RequestException.of(
                ErrorKind.REQUEST_TOO_LARGE, "the body is longer than " + limits.maxBodyBytes() + " bytes");
    }

    private void dispatch() {
        receiveTimeout.stop();
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        boolean chunksAllowed = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        ServerRequest request =
                new ServerRequest(head.method().name(), head.uri(), headersOf(head), body.toBlocks(), bodyBytes);
        head = null;
        body = null;
        response = new ChannelResponse(
                context.channel(), chunksAllowed, () -> keepAlive && !draining.getAsBoolean(), this::onAnswered);
        try {
            handler.onRequest(request, response);
        } catch (RequestException e) {
            handler.onRefused(e, response);
        } catch (RuntimeException e) {
            String message = "unhandled exception in the request handler: "
                    + e.getClass().getSimpleName();
            handler.onRefused(RequestException.of(ErrorKind.INTERNAL, message), response);
        }
    }

    private static ImmutableListMultimap<String, String> headersOf(HttpRequest request) {
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        for (Map.Entry<String, String> header : request.headers()) {
            headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue());
        }
        return headers.build();
    }

    private static RequestException shuttingDown() {
        return RequestException.of(ErrorKind.SHUTTING_DOWN, "the host is stopping", STOPPING_RETRY_DELAY);
    }

    private void refuse(RequestException refusal) {
        closing = true;
        refusedIncomplete = true;
        head = null;
        body = null;
        receiveTimeout.stop();
        ChannelResponse errorResponse = new ChannelResponse(context.channel(), false, () -> false, this::onAnswered);
        response = errorResponse;
        handler.onRefused(refusal, errorResponse);
    }

    private void onAnswered(boolean keepAlive) {
        budget.release(bodyBytes);
        bodyBytes = 0;
        response = null;
        if (!keepAlive) {
            closing = true;
            context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ignored -> linger());
            return;
        }
        // Runs as a separate task, so that a long queue of pipelined requests cannot overflow the stack.
        context.executor().execute(this::processQueuedParts);
    }

    private void linger() {
        SocketChannel connection = (SocketChannel) context.channel();
        queuedParts.forEach(ReferenceCountUtil::release);
        queuedParts.clear();
        connection.shutdownOutput();
        connection.config().setAutoRead(true);
        closeWhenIdle(MAX_LINGER_MILLIS);
    }

    private void closeWhenIdle(long remainingMillis) {
        receivedSinceLingerCheck = false;
        context.executor()
                .schedule(
                        () -> {
                            long left = remainingMillis - LINGER_IDLE_MILLIS;
                            if (receivedSinceLingerCheck
                                    && left > 0
                                    && context.channel().isOpen()) {
                                closeWhenIdle(left);
                            } else {
                                context.close();
                            }
                        },
                        LINGER_IDLE_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void processQueuedParts() {
        while (response == null && !closing && !queuedParts.isEmpty()) {
            acceptPart(queuedParts.poll());
        }
        if (queuedParts.size() < MAX_QUEUED_PARTS) {
            context.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ignored, Object event) {
        if (event instanceof ReceiveTimeoutHandler.Expired) {
            onReceiveTimeout();
        }
        if (event instanceof IdleStateEvent && !isBusy() && !closing) {
            onIdle();
        }
        if (event instanceof ShutdownEvent shutdown) {
            onShutdown(shutdown);
        }
    }

    private void onShutdown(ShutdownEvent event) {
        refusing = true;
        if (head != null) {
            refuse(shuttingDown());
            return;
        }
        if (event == ShutdownEvent.REFUSE_INCOMPLETE || response != null) {
            return;
        }
        if (closing && refusedIncomplete) {
            // The caller may still be sending; if the connection were closed now, it might lose the response.
            return;
        }
        closing = true;
        context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> context.close());
    }

    private void onReceiveTimeout() {
        if (closing) {
            return;
        }
        if (isBusy()) {
            // The next request stays in the queue while the response before it is in progress.
            receiveTimeout.restart();
            return;
        }
        long newBytes = bodyBytes - bodyBytesAtLastTimeout;
        if (newBytes > 0) {
            bodyBytesAtLastTimeout = bodyBytes;
            receiveTimeout.extend(newBytes * NANOS_PER_SECOND / ServerLimits.MIN_BODY_BYTES_PER_SECOND);
            return;
        }
        refuse(requestTimedOut());
    }

    private void onIdle() {
        if (head == null) {
            context.close();
            return;
        }
        refuse(requestTimedOut());
    }

    private static RequestException requestTimedOut() {
        return RequestException.of(ErrorKind.BAD_REQUEST, "the request was not received completely in time");
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        if (response != null) {
            response.writabilityChanged();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        queuedParts.forEach(ReferenceCountUtil::release);
        queuedParts.clear();
        budget.release(bodyBytes);
        bodyBytes = 0;
        if (response != null) {
            ChannelResponse interrupted = response;
            response = null;
            interrupted.connectionClosed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        context.close();
    }
}
