package org.boragebarrow.http.client;

import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.port.EngineClient;
import org.boragebarrow.port.TargetFailure;

/** One call from its start to its end, failure or cancellation; all but the handle is confined to one event loop. */
final class ActiveCall implements EngineClient.Handle {
    /** Answers of other calls that are skipped before this call's: more than a connection ever has open. */
    private static final int MAX_SKIPPED_ANSWERS = 16;

    private final EventLoop loop;
    private final Endpoint endpoint;
    private final HttpCall call;
    private final StreamListener listener;
    private final boolean closeDelimited;
    private Optional<Channel> channel = Optional.empty();
    private Optional<BodyWriter> writer = Optional.empty();
    private boolean reading = true;
    private boolean sent;
    private boolean skipping;
    private int skippedAnswers;
    private long skippedBytes;
    private boolean keepAlive;
    private boolean done;

    ActiveCall(EventLoop loop, Endpoint endpoint, HttpCall call, StreamListener listener, boolean closeDelimited) {
        this.loop = loop;
        this.endpoint = endpoint;
        this.call = call;
        this.listener = listener;
        this.closeDelimited = closeDelimited;
    }

    EventLoop loop() {
        return loop;
    }

    boolean isDone() {
        return done;
    }

    /** Sends the request on an open connection; a call that was closed meanwhile hands the connection back. */
    void start(Channel open) {
        Connection connection = open.pipeline().get(Connection.class);
        if (done) {
            connection.release(open);
            return;
        }
        HttpRequest request;
        try {
            request = request();
        } catch (IllegalArgumentException e) {
            connection.release(open);
            fail("malformed request: " + e.getMessage());
            return;
        }
        channel = Optional.of(open);
        connection.attach(this);
        open.config().setAutoRead(reading);
        send(request, open);
    }

    private void send(HttpRequest request, Channel open) {
        BodyWriter body = new BodyWriter(open, call.body(), this::checkWritten);
        writer = Optional.of(body);
        sent = true;
        open.write(request).addListener((ChannelFuture written) -> checkWritten(written));
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
            fail("malformed answer from " + endpoint + ": "
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
        if (done) {
            return;
        }
        drop();
        listener.onFailure(sent ? TargetFailure.broken(message) : TargetFailure.notSent(message));
    }

    @Override
    public void close() {
        run(this::drop);
    }

    @Override
    public void setReading(boolean wanted) {
        run(() -> read(wanted));
    }

    private void run(Runnable step) {
        if (loop.inEventLoop()) {
            step.run();
        } else if (!loop.isShutdown()) {
            loop.execute(step);
        }
    }

    private void read(boolean wanted) {
        reading = wanted;
        if (!done) {
            channel.ifPresent(open -> open.config().setAutoRead(wanted));
        }
    }

    private void drop() {
        if (done) {
            return;
        }
        done = true;
        channel.ifPresent(open -> open.pipeline().get(Connection.class).reset(open));
    }

    private void checkWritten(ChannelFuture written) {
        if (!written.isSuccess()) {
            fail("request to " + endpoint + " could not be written: " + written.cause());
        }
    }

    private void receiveHead(HttpResponse response) {
        HttpResponseStatus status = response.status();
        if (status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            fail(endpoint + " switched protocols unasked");
            return;
        }
        skipping = status.codeClass() == HttpStatusClass.INFORMATIONAL || isOfAnotherCall(response);
        if (skipping) {
            skippedAnswers++;
            if (skippedAnswers > MAX_SKIPPED_ANSWERS) {
                fail(endpoint + " sent more than " + MAX_SKIPPED_ANSWERS + " answers that belong to no request");
            }
            return;
        }
        boolean framed = tellsItsLength(response);
        if (!framed && !closeDelimited) {
            fail("answer from " + endpoint + " has neither a length nor chunks");
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(response) && framed;
        ImmutableListMultimap.Builder<String, String> headers = ImmutableListMultimap.builder();
        for (Map.Entry<String, String> header : response.headers()) {
            headers.put(header);
        }
        listener.onHead(status.code(), headers.build());
    }

    private boolean isOfAnotherCall(HttpResponse response) {
        if (call.check().isEmpty()) {
            return false;
        }
        String id = response.headers().get(call.check().get().header());
        return id != null && !id.equals(call.check().get().id());
    }

    /** An answer that does not ends with its connection; the decoder ends it then, but not after a reset. */
    private boolean tellsItsLength(HttpResponse response) {
        return HttpUtil.isTransferEncodingChunked(response)
                || HttpUtil.isContentLengthSet(response)
                || response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED)
                || call.method().equals(HttpMethod.HEAD.name());
    }

    private void receiveContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skip(content, last);
            return;
        }
        if (content.content().isReadable()) {
            listener.onBody(content.content());
        }
        if (last && !done) {
            finish();
        }
    }

    /** An answer of another call may be as long as any. */
    private void skip(HttpContent content, boolean last) {
        skipping = !last;
        skippedBytes += content.content().readableBytes();
        if (skippedBytes > HttpClient.MAX_ANSWER_BYTES) {
            fail(endpoint + " sent more than " + HttpClient.MAX_ANSWER_BYTES + " bytes that belong to no request");
        }
    }

    private void finish() {
        done = true;
        Channel open = channel.orElseThrow();
        Connection connection = open.pipeline().get(Connection.class);
        boolean written = writer.map(BodyWriter::isFinished).orElse(false);
        if (keepAlive && written && open.isActive()) {
            connection.release(open);
        } else {
            connection.close(open);
        }
        listener.onEnd();
    }

    private HttpRequest request() {
        HttpRequest request =
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.path());
        call.headers().forEach(request.headers()::add);
        if (!request.headers().contains(HttpHeaderNames.HOST)) {
            request.headers().set(HttpHeaderNames.HOST, endpoint.toString());
        }
        request.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        request.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        if (call.length() > 0 || !call.method().equals(HttpMethod.GET.name())) {
            HttpUtil.setContentLength(request, call.length());
        }
        return request;
    }
}
