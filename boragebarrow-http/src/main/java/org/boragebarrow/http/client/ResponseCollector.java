package org.boragebarrow.http.client;

import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.http.buffer.BlockBuffer;
import org.boragebarrow.port.TargetFailure;

/** Collects a response of bounded length into a future. */
final class ResponseCollector implements StreamListener {
    private final CompletableFuture<HttpAnswer> future = new CompletableFuture<>();
    private final BlockBuffer body = BlockBuffer.ofUnknownSize();
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
        body.add(part.slice());
    }

    @Override
    public void onEnd() {
        ByteBuffer joined = ByteBuffer.allocate(body.size());
        body.toBlocks().forEach(joined::put);
        future.complete(new HttpAnswer(status, headers, joined.array()));
    }

    @Override
    public void onFailure(TargetFailure failure) {
        future.completeExceptionally(new HttpCallException(failure.sent(), failure.message()));
    }
}
