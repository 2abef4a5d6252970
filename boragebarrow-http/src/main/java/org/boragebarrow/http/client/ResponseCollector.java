package org.boragebarrow.http.client;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.port.TargetFailure;

/** Collects a response of bounded length into a future. */
final class ResponseCollector implements StreamListener {
    private final CompletableFuture<HttpAnswer> future = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final int maxBytes;
    private int status;
    private ImmutableListMultimap<String, String> headers = ImmutableListMultimap.of();

    ResponseCollector(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    CompletableFuture<HttpAnswer> future() {
        return future;
    }

    @Override
    public void onHead(int responseStatus, ImmutableListMultimap<String, String> responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
    }

    @Override
    public void onBody(ByteBuf part) {
        if (body.size() + part.readableBytes() > maxBytes) {
            throw new IllegalStateException("response body is longer than " + maxBytes + " bytes");
        }
        byte[] bytes = new byte[part.readableBytes()];
        part.getBytes(part.readerIndex(), bytes);
        body.writeBytes(bytes);
    }

    @Override
    public void onEnd() {
        future.complete(new HttpAnswer(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(TargetFailure failure) {
        future.completeExceptionally(new HttpCallException(failure.sent(), failure.message()));
    }
}
