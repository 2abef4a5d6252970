package org.boragebarrow.http.client;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/**
 * A call in progress, until it ends, fails or is cancelled.
 *
 * <p>Confined to one event loop, except for the methods of {@link EngineClient.CallHandle}.
 */
final class ActiveCall implements EngineClient.CallHandle {
    /**
     * The maximum number of skipped responses: informational ones and those to other calls.
     *
     * <p>This is more than a connection ever has outstanding.
     */
    private static final int MAX_SKIPPED_ANSWERS = 16;

    /**
     * How long a reset behind the end of a response is waited for.
     *
     * <p>A server that closes its connection with unread bytes may end its output first and reset the connection at once.
     */
    private static final Duration RESET_WAIT = Duration.ofMillis(20);

    private final EventLoop loop;
    private final Endpoint endpoint;
    private final HttpCall call;
    private final StreamListener listener;
    private final boolean allowCloseDelimited;
    private Optional<Channel> channel = Optional.empty();
    private Optional<BodyWriter> writer = Optional.empty();
    private boolean readEnabled = true;
    private volatile boolean sent;
    private boolean skipping;
    private Optional<NestedHeadDetector> nestedHead = Optional.empty();
    private boolean receivedOtherResponse;
    private int skippedAnswers;
    private long skippedBytes;
    private boolean keepAlive;
    private boolean staysOpenAtEnd;
    private Optional<Future<?>> resetTimer = Optional.empty();
    private boolean done;

    ActiveCall(EventLoop loop, Endpoint endpoint, HttpCall call, StreamListener listener, boolean closeDelimited) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.call = call;
        this.listener = listener;
        this.allowCloseDelimited = closeDelimited;
    }

    EventLoop loop() {
        return loop;
    }

    Optional<String> correlationId() {
        return call.correlationId().map(CorrelationId::value);
    }

    boolean expectsNoBody() {
        return call.expectsNoBody();
    }

    boolean isDone() {
        return done;
    }

    /** Sends the request on an open connection, or releases the connection if the call is already done. */
    void start(Channel openChannel) {
        Connection connection = openChannel.pipeline().get(Connection.class);
        if (done) {
            connection.release(openChannel);
            return;
        }
        HttpRequest request;
        try {
            request = createRequest();
        } catch (IllegalArgumentException e) {
            connection.release(openChannel);
            fail("malformed request: " + e.getMessage());
            return;
        }
        channel = Optional.of(openChannel);
        connection.attach(this);
        openChannel.config().setAutoRead(readEnabled);
        send(request, openChannel);
    }

    private void send(HttpRequest request, Channel openChannel) {
        BodyWriter body = new BodyWriter(openChannel, call.body(), this::checkWritten);
        writer = Optional.of(body);
        sent = true;
        openChannel.write(request).addListener((ChannelFuture written) -> checkWritten(written));
        body.writeMore();
    }

    void writeMore() {
        if (!done) {
            writer.ifPresent(BodyWriter::writeMore);
        }
    }

    void receive(HttpObject message) {
        if (done) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            connection().onRejectedHead("not decodable");
            fail("malformed response from " + endpoint + ": "
                    + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (message instanceof HttpContent content && !done) {
            receiveContent(content);
        }
    }

    void fail(String message) {
        fail(sent ? TargetFailure.broken(message) : TargetFailure.notSent(message));
    }

    /** Fails the call because its connection has ended. */
    void failDisconnected(String message) {
        fail(sent ? TargetFailure.disconnected(message) : TargetFailure.notSent(message));
    }

    private void fail(TargetFailure failure) {
        if (done) {
            return;
        }
        abort();
        listener.onFailure(failure);
    }

    @Override
    public void close() {
        runOnLoop(this::abort);
    }

    @Override
    public boolean isSent() {
        return sent;
    }

    @Override
    public void setReadEnabled(boolean enabled) {
        runOnLoop(() -> applyReadEnabled(enabled));
    }

    private void runOnLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else if (!loop.isShutdown()) {
            loop.execute(task);
        }
    }

    private void applyReadEnabled(boolean enabled) {
        readEnabled = enabled;
        if (!done) {
            channel.ifPresent(openChannel -> openChannel.config().setAutoRead(enabled));
        }
    }

    private void abort() {
        if (done) {
            return;
        }
        done = true;
        resetTimer.ifPresent(timer -> timer.cancel(false));
        channel.ifPresent(
                openChannel -> openChannel.pipeline().get(Connection.class).reset(openChannel));
    }

    private void checkWritten(ChannelFuture written) {
        if (!written.isSuccess()) {
            failDisconnected("request to " + endpoint + " could not be written: " + written.cause());
        }
    }

    private void receiveHead(HttpResponse response) {
        HttpResponseStatus status = response.status();
        if (status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail(endpoint + " switched protocols without being requested to");
            return;
        }
        Optional<String> fault = ResponseHeadValidator.findFault(response, call.correlationId());
        if (fault.isPresent()) {
            connection().onRejectedHead(response.protocolVersion() + " " + status);
            fail("malformed response from " + endpoint + ": " + fault.get());
            return;
        }
        boolean otherCall = belongsToAnotherCall(response);
        boolean selfDelimited = isSelfDelimited(response);
        nestedHead = call.correlationId()
                .map(id -> new NestedHeadDetector(
                        id.header(), value -> !selfDelimited || connection().hasCarried(value)));
        skipping = status.codeClass() == HttpStatusClass.INFORMATIONAL || otherCall;
        if (otherCall) {
            receivedOtherResponse = true;
            connection()
                    .onOtherResponse(response.protocolVersion() + " " + status + ", "
                            + call.correlationId().get().header() + " "
                            + response.headers().get(call.correlationId().get().header()));
        }
        if (otherCall && !selfDelimited) {
            fail(endpoint + " sent a response to another request that has no end");
            return;
        }
        if (skipping) {
            skippedAnswers++;
            if (skippedAnswers > MAX_SKIPPED_ANSWERS) {
                fail(endpoint + " sent more than " + MAX_SKIPPED_ANSWERS + " responses to other requests");
            }
            return;
        }
        if (!selfDelimited && !allowCloseDelimited) {
            fail("response from " + endpoint + " has neither Content-Length nor chunked encoding");
            return;
        }
        // After a response to another call, what else the server sends on this connection is not known.
        keepAlive = HttpUtil.isKeepAlive(response) && selfDelimited && !receivedOtherResponse && !expectsNoBody();
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        for (Map.Entry<String, String> header : response.headers()) {
            headers.put(header);
        }
        // Without a body, the server has nothing left to read when it closes the connection.
        staysOpenAtEnd = !selfDelimited && call.bodyLength() > 0;
        if (staysOpenAtEnd) {
            channel.orElseThrow().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
        }
        listener.onOrigin(connection().origin(status.reasonPhrase(), skippedAnswers));
        listener.onHead(status.code(), headers.build());
    }

    private Connection connection() {
        return channel.orElseThrow().pipeline().get(Connection.class);
    }

    private boolean belongsToAnotherCall(HttpResponse response) {
        if (call.correlationId().isEmpty()) {
            return false;
        }
        String id = response.headers().get(call.correlationId().get().header());
        return id != null && !id.equals(call.correlationId().get().value());
    }

    /**
     * Returns whether the end of the response can be determined without the end of the connection.
     *
     * <p>The decoder ends any other response when the server ends its output.
     */
    private boolean isSelfDelimited(HttpResponse response) {
        return HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response)
                || response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || expectsNoBody();
    }

    private void receiveContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (isBrokenOff(content, last)) {
            connection().onRejectedHead("within a body");
            fail(endpoint + " broke off a response and sent another one");
            return;
        }
        if (skipping) {
            skipContent(content, last);
            return;
        }
        if (content.content().isReadable()) {
            listener.onBody(content.content());
        }
        if (last && !done) {
            finish();
        }
    }

    /** Returns whether another response begins within the body that ends with this content or goes on. */
    private boolean isBrokenOff(HttpContent content, boolean last) {
        if (nestedHead.isEmpty()) {
            return false;
        }
        ResponseDecoder decoder = channel.orElseThrow().pipeline().get(ResponseDecoder.class);
        return nestedHead.get().feed(content.content())
                || (last && nestedHead.get().continuesIn(decoder.unreadStart()));
    }

    /** Skips content of an informational response or of one to another call, which has no length limit of its own. */
    private void skipContent(HttpContent content, boolean last) {
        skipping = !last;
        skippedBytes += content.content().readableBytes();
        if (skippedBytes > HttpClient.MAX_ANSWER_BYTES) {
            fail(endpoint + " sent more than " + HttpClient.MAX_ANSWER_BYTES + " bytes of responses to other requests");
        }
    }

    private void finish() {
        if (staysOpenAtEnd) {
            resetTimer =
                    Optional.of(loop.schedule(this::completeUnlessReset, RESET_WAIT.toMillis(), TimeUnit.MILLISECONDS));
        } else {
            complete();
        }
    }

    private void completeUnlessReset() {
        if (done) {
            return;
        }
        if (((ClientSocketChannel) channel.orElseThrow()).hasPendingError()) {
            failDisconnected("connection to " + endpoint + " was reset behind the end of the response");
        } else {
            complete();
        }
    }

    private void complete() {
        done = true;
        Channel openChannel = channel.orElseThrow();
        Connection connection = openChannel.pipeline().get(Connection.class);
        boolean written = writer.map(BodyWriter::isFinished).orElse(false);
        if (keepAlive && written && openChannel.isActive()) {
            connection.release(openChannel);
        } else {
            connection.close(openChannel);
        }
        listener.onEnd();
    }

    private HttpRequest createRequest() {
        HttpRequest request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.path());
        call.headers().forEach(request.headers()::add);
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, endpoint.toString());
        }
        request.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        request.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        if (call.bodyLength() > 0 || !call.method().equals(HttpMethod.GET.name())) {
            HttpUtil.setContentLength(request, call.bodyLength());
        }
        return request;
    }
}
