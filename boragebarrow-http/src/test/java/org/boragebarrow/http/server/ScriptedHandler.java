package org.boragebarrow.http.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import org.boragebarrow.model.RequestException;

/**
 * Responds with the path and the length of the body, and with {@link #LARGE_BYTES} to {@code /large} and, in blocks, to
 * {@code /blocks}. Does not respond to {@code /hold} by itself, writes
 * {@link #FLOOD_BYTES} to the caller of {@code /flood}, and throws for {@code /fault} and {@code /late-fault}.
 */
final class ScriptedHandler implements ServerHandler {
    static final long FLOOD_BYTES = 256L << 20;

    /** The body of the response to {@code /large}, in bytes, which is more than the sockets can buffer. */
    static final int LARGE_BYTES = 64 << 20;

    private static final int PART_BYTES = 16 << 10;
    private static final int BLOCK_BYTES = 64 << 10;
    private static final long WAIT_SECONDS = 20;

    final BlockingQueue<ServerResponse> heldResponses = new LinkedBlockingQueue<>();
    final BlockingQueue<String> disconnectedPaths = new LinkedBlockingQueue<>();
    final AtomicLong floodedBytes = new AtomicLong();

    /** The bytes of the blocks that are no longer held by the response. */
    final AtomicLong writtenBytes = new AtomicLong();

    @Override
    public void onRequest(ServerRequest request, ServerResponse response) {
        response.onClose(() -> disconnectedPaths.add(request.path()));
        switch (request.path()) {
            case "/hold" -> heldResponses.add(response);
            case "/large" -> response.send(200, ImmutableListMultimap.of(), ByteBuffer.allocate(LARGE_BYTES));
            case "/blocks" -> response.send(200, ImmutableListMultimap.of(), blocks(), writtenBytes::addAndGet);
            case "/flood" -> {
                response.start(200, ImmutableListMultimap.of());
                response.onWritabilityChanged(() -> flood(response));
                flood(response);
            }
            case "/fault" -> throw new IllegalStateException("fault");
            case "/late-fault" -> {
                response.start(200, ImmutableListMultimap.of());
                throw new IllegalStateException("fault");
            }
            default -> answer(response, 200, request.path() + " " + request.bodyBytes());
        }
    }

    private static ImmutableList<ByteBuffer> blocks() {
        return Stream.generate(() -> ByteBuffer.allocate(BLOCK_BYTES))
                .limit(LARGE_BYTES / BLOCK_BYTES)
                .collect(ImmutableList.toImmutableList());
    }

    private void flood(ServerResponse response) {
        while (response.isOpen() && response.isWritable() && floodedBytes.get() < FLOOD_BYTES) {
            floodedBytes.addAndGet(PART_BYTES);
            response.write(ByteBuffer.allocate(PART_BYTES));
        }
        if (response.isOpen() && floodedBytes.get() == FLOOD_BYTES) {
            response.end();
        }
    }

    @Override
    public void onRefused(RequestException refusal, ServerResponse response) {
        answer(response, refusal.kind().status(), refusal.kind() + ": " + refusal.getMessage());
    }

    static void answer(ServerResponse response, int status, String text) {
        response.send(status, ImmutableListMultimap.of(), ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
    }

    ServerResponse awaitHeldResponse() throws InterruptedException {
        return heldResponses.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    String awaitDisconnect() throws InterruptedException {
        return disconnectedPaths.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }
}
