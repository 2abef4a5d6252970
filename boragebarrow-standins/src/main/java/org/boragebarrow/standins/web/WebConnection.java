package org.boragebarrow.standins.web;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;

import static java.lang.System.Logger.Level.DEBUG;
import static java.lang.System.Logger.Level.WARNING;

/** Passes the requests of one connection to the handler, one at a time and in order. */
final class WebConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final System.Logger LOGGER = System.getLogger(WebConnection.class.getName());
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final int BAD_REQUEST = 400;
    private static final int INTERNAL_SERVER_ERROR = 500;

    private final WebHandler handler;
    private final Queue<PendingRequest> pendingRequests = new ArrayDeque<>();
    private boolean busy;

    WebConnection(WebHandler handler) {
        this.handler = handler;
    }

    private record PendingRequest(WebRequest request, boolean keepAlive) {}

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
        pendingRequests.add(new PendingRequest(WebRequest.of(message), HttpUtil.isKeepAlive(message)));
        if (!busy) {
            handleNext(context);
        }
    }

    private void handleNext(ChannelHandlerContext context) {
        PendingRequest next = pendingRequests.poll();
        busy = next != null;
        if (next == null) {
            return;
        }
        WebResponse response = new WebResponse(
                context.channel(), next.keepAlive, () -> context.executor().execute(() -> handleNext(context)));
        try {
            handler.handle(next.request, response);
        } catch (IllegalArgumentException e) {
            fail(response, BAD_REQUEST, e);
        } catch (RuntimeException e) {
            LOGGER.log(WARNING, "exception while handling a request for " + next.request.path(), e);
            fail(response, INTERNAL_SERVER_ERROR, e);
        }
    }

    private static void fail(WebResponse response, int status, RuntimeException failure) {
        if (response.started()) {
            response.abort();
        } else {
            response.send(status, TEXT, String.valueOf(failure.getMessage()).getBytes(StandardCharsets.UTF_8));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.log(DEBUG, "closing connection after an exception", cause);
        context.close();
    }
}
