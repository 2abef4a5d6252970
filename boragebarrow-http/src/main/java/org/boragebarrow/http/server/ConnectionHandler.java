package org.boragebarrow.http.server;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

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
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.boragebarrow.http.buffer.BlockBuffer;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.RequestException;

/**
 * Assembles one request at a time and passes it to the {@link ServerHandler}. Pipelined requests wait in the
 * {@link InputGate} until the preceding response is complete and mostly written.
 */
final class ConnectionHandler extends ChannelInboundHandlerAdapter implements InputGate.Connection {
    /**
     * How long a connection whose output was shut down is still read while the caller sends nothing. Closing it at once
     * could reset it before the caller has read the response.
     */
    private static final long LINGER_IDLE_MILLIS = 5_000;

    /** How long such a connection is read in total, so that a caller that never stops sending cannot hold it. */
    private static final long MAX_LINGER_MILLIS = 30_000;

    /** What a caller that does not read makes its target's side hold: what was received before reading stopped. */
    private static final long UNREAD_TARGET_BYTES = 128 << 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Within this time, requests that hold the memory end, or those that are not received are evicted. */
    private static final Duration OVERLOADED_RETRY_DELAY = Duration.ofMillis(500);

    /** Another host can handle the request at once. */
    private static final Duration STOPPING_RETRY_DELAY = Duration.ofMillis(50);

    private final Supplier<ServerLimits> limits;
    private final ServerLimits limitsAtStart;
    private final ServerHandler handler;
    private final ConnectionTable connections;
    private final MemoryShare memory;
    private final InputGate gate = new InputGate(this);
    private final ReceiveTimeoutHandler receiveTimeout;
    private final BooleanSupplier draining;
    private final Deque<HttpObject> queuedParts = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private HttpRequest head;
    private BlockBuffer body;
    private long bodyBytesAtLastTimeout;
    private int bodyBytes;
    private int maxBodyBytes;
    private long requestMemory;
    private long outputMemory;
    private ChannelResponse response;
    private boolean closing;
    private boolean continuing;
    private boolean refusedIncomplete;
    private boolean refusing;
    private boolean closingWhenWritten;
    private boolean receivedSinceLingerCheck;

    ConnectionHandler(
            Supplier<ServerLimits> limits,
            ServerHandler handler,
            ConnectionTable connections,
            MemoryAccount account,
            ReceiveTimeoutHandler receiveTimeout,
            BooleanSupplier draining) {
        this.limits = limits;
        this.limitsAtStart = limits.get();
        this.handler = handler;
        this.connections = connections;
        this.memory = new MemoryShare(account, this::evict);
        this.receiveTimeout = receiveTimeout;
        this.draining = draining;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext addedContext) {
        context = addedContext;
    }

    /** Returns the handler that goes before the decoder. */
    InputGate gate() {
        return gate;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (closing) {
            receivedSinceLingerCheck = true;
            ReferenceCountUtil.release(message);
            return;
        }
        HttpObject part = (HttpObject) message;
        if (hasRequestInProgress()) {
            queuedParts.add(part);
            return;
        }
        acceptPart(part);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ignored) {
        if (response == null && memory.heldBytes() > 0) {
            memory.setEvictable(true);
        }
    }

    /** Returns whether a response is in progress, or requests that were received during the last one are still queued. */
    private boolean hasRequestInProgress() {
        return response != null || !queuedParts.isEmpty();
    }

    @Override
    public boolean isBusy() {
        return !closing
                && (hasRequestInProgress() || continuing || !context.channel().isWritable());
    }

    @Override
    public long remainingBodyBytes() {
        if (head == null) {
            return closing ? Integer.MAX_VALUE : 0;
        }
        return HttpUtil.getContentLength(head, -1L) < 0 ? -1 : HttpUtil.getContentLength(head, -1L) - bodyBytes;
    }

    @Override
    public boolean holdHead(long bytes) {
        return holdRequest(bytes);
    }

    private boolean holdRequest(long bytes) {
        if (closing) {
            return false;
        }
        if (!memory.tryHold(bytes)) {
            refuse(memoryFull());
            return false;
        }
        requestMemory += bytes;
        return true;
    }

    @Override
    public boolean holdKept(long bytes) {
        return memory.tryHold(bytes);
    }

    @Override
    public void releaseKept(long bytes) {
        memory.release(bytes);
    }

    private static RequestException memoryFull() {
        return RequestException.of(
                ErrorKind.OVERLOADED, "the host's memory for requests is full", OVERLOADED_RETRY_DELAY);
    }

    private void evict() {
        if (context.executor().inEventLoop()) {
            onEvicted();
        } else {
            context.executor().execute(this::onEvicted);
        }
    }

    private void onEvicted() {
        requestMemory = 0;
        outputMemory = 0;
        if (response == null && !closing) {
            refuse(memoryFull());
        } else {
            context.close();
        }
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
        bodyBytes = 0;
        bodyBytesAtLastTimeout = 0;
        Optional<String> error = RequestHeadValidator.findError(request);
        if (error.isPresent()) {
            refuse(RequestException.of(ErrorKind.BAD_REQUEST, error.get()));
            return;
        }
        long length = HttpUtil.getContentLength(request, -1L);
        maxBodyBytes = limits.get().maxBodyBytes();
        if (length > maxBodyBytes) {
            refuse(bodyTooLarge());
            return;
        }
        // Held before it is received, so that a body that has begun can be completed.
        if (length > 0 && !holdRequest(length)) {
            return;
        }
        body = length < 0 ? BlockBuffer.ofUnknownSize() : BlockBuffer.ofSize((int) length);
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
        if (bodyBytes + size > maxBodyBytes) {
            refuse(bodyTooLarge());
            return;
        }
        boolean lengthUnknown = remainingBodyBytes() < 0;
        if (lengthUnknown && !holdRequest(body.growthFor(size))) {
            return;
        }
        bodyBytes += size;
        body.add(bytes);
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    private RequestException bodyTooLarge() {
        return RequestException.of(ErrorKind.REQUEST_TOO_LARGE, "the body is longer than " + maxBodyBytes + " bytes");
    }

    private void dispatch() {
        receiveTimeout.stop();
        memory.setEvictable(false);
        connections.onRequest(context.channel());
        boolean keepAlive = HttpUtil.isKeepAlive(head);
        boolean chunksAllowed = head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        ServerRequest request =
                new ServerRequest(head.method().name(), head.uri(), headersOf(head), body.toBlocks(), bodyBytes);
        head = null;
        body = null;
        response = new ChannelResponse(
                context.channel(),
                chunksAllowed,
                () -> keepAlive && !draining.getAsBoolean() && areLimitsCurrent(),
                this::onAnswered);
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

    /** Returns whether the limits of heads and of times, which stay those of the start of the connection, are still in effect. */
    private boolean areLimitsCurrent() {
        return limits.get().equals(limitsAtStart);
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
        memory.setEvictable(false);
        ChannelResponse errorResponse = new ChannelResponse(context.channel(), false, () -> false, this::onAnswered);
        response = errorResponse;
        handler.onRefused(refusal, errorResponse);
    }

    private void onAnswered(boolean succeeded, boolean keepAlive) {
        memory.release(requestMemory);
        requestMemory = 0;
        bodyBytes = 0;
        response = null;
        if (!keepAlive) {
            closing = true;
            context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ignored -> linger());
            return;
        }
        if (closingWhenWritten) {
            closeWhenWritten();
            return;
        }
        connections.onIdle(context.channel(), succeeded);
        continueLater();
    }

    /** Handles the next pipelined request after other connections had a turn, and with an empty stack. */
    private void continueLater() {
        if (!continuing) {
            continuing = true;
            context.executor().execute(this::processQueuedParts);
        }
    }

    private void linger() {
        SocketChannel connection = (SocketChannel) context.channel();
        queuedParts.forEach(ReferenceCountUtil::release);
        queuedParts.clear();
        gate.discard();
        // Frees what is decoded of an incomplete request.
        if (context.pipeline().get(HttpServerCodec.class) != null) {
            context.pipeline().remove(HttpServerCodec.class);
        }
        connections.offer(connection);
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
        continuing = false;
        while (response == null && !closing && !queuedParts.isEmpty()) {
            acceptPart(queuedParts.poll());
        }
        if (!closing) {
            gate.resume();
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
        closingWhenWritten |= event == ShutdownEvent.CLOSE_WHEN_WRITTEN;
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
        closeWhenWritten();
    }

    private void closeWhenWritten() {
        closing = true;
        context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> context.close());
    }

    private void onReceiveTimeout() {
        if (closing) {
            return;
        }
        if (isBusy()) {
            // The next request waits while the response before it is in progress or unread.
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
        return RequestException.of(ErrorKind.RECEIVE_TIMED_OUT, "the request was not received completely in time");
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        memory.release(outputMemory);
        outputMemory = 0;
        boolean writable = context.channel().isWritable();
        memory.setEvictable(!writable);
        if (!writable) {
            outputMemory = context.channel().unsafe().outboundBuffer().totalPendingWriteBytes() + UNREAD_TARGET_BYTES;
            memory.hold(outputMemory);
        }
        if (response != null) {
            response.writabilityChanged();
        } else if (writable && !closing) {
            continueLater();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closing = true;
        queuedParts.forEach(ReferenceCountUtil::release);
        queuedParts.clear();
        memory.releaseAll();
        requestMemory = 0;
        outputMemory = 0;
        bodyBytes = 0;
        if (response != null) {
            ChannelResponse interrupted = response;
            response = null;
            interrupted.connectionClosed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
        FatalErrors.exitIfFatal(cause);
        context.close();
    }
}
