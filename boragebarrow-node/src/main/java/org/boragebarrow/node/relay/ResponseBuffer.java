package org.boragebarrow.node.relay;

import java.util.List;

import com.google.common.collect.ImmutableListMultimap;
import io.netty.buffer.ByteBuf;
import org.boragebarrow.decision.memory.ResponseMemory;
import org.boragebarrow.http.buffer.BlockBuffer;
import org.boragebarrow.http.server.ServerResponse;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What is kept of a target's response: a body until the caller has read it, or an event until it is complete. Memory is accounted
 * for before it is used. Confined to the event loop.
 */
final class ResponseBuffer {
    /** Maximum size in bytes of a body that is kept until it is complete, and of an event of a stream. */
    private static final int MAX_BYTES = 16 << 20;

    private final ResponseMemory.Holding memory;
    private final EventSplitter splitter = new EventSplitter(MAX_BYTES);
    private final BlockBuffer body = BlockBuffer.ofUnknownSize();

    /** The bytes of memory that are held for what is not complete. */
    private int incompleteBytes;

    ResponseBuffer(ResponseMemory.Holding memory) {
        this.memory = memory;
    }

    /** Returns the bytes of memory that are held, also for what the caller has not read. */
    long heldBytes() {
        return memory.heldBytes();
    }

    /**
     * Appends a part of a body.
     *
     * @throws IllegalArgumentException if there is no memory for it, or the body is longer than the maximum
     */
    void addToBody(ByteBuf part) {
        checkArgument(body.size() + part.readableBytes() <= MAX_BYTES, "response is longer than %s bytes", MAX_BYTES);
        hold(body.growthFor(part.readableBytes()));
        body.add(part.slice());
    }

    /** Returns the size of the body in bytes. */
    int bodySize() {
        return body.size();
    }

    /** Sends the complete body; its memory is held until the caller has read it. */
    void sendBody(int status, ImmutableListMultimap<String, String> headers, ServerResponse response) {
        response.send(status, headers, body.toBlocks(), memory::release);
    }

    /** Marks the body as complete, so that {@link #releaseIncomplete} does not release its memory. */
    void completeBody() {
        memory.onComplete(body.size());
        incompleteBytes -= body.size();
    }

    /**
     * Appends bytes of a stream, and returns the events that they complete.
     *
     * @throws IllegalArgumentException if there is no memory for them, or an event is malformed or longer than the maximum
     */
    List<EventSplitter.Event> addToStream(ByteBuf part) {
        hold(splitter.growthFor(part.readableBytes()));
        return splitter.feed(part);
    }

    /** Returns whether bytes of an incomplete event are kept. */
    boolean hasIncompleteEvent() {
        return splitter.hasIncompleteEvent();
    }

    /** Writes an event; the memory of a large one is held until the caller has read it. */
    void write(EventSplitter.Event event, ServerResponse response) {
        if (event.blocks().size() == 1) {
            response.write(event.blocks().get(0));
            return;
        }
        memory.onComplete(event.size());
        incompleteBytes -= event.size();
        response.write(event.blocks(), memory::release);
    }

    /** Releases what the events that were written held while they were incomplete. */
    void releaseCompleteEvents() {
        release(splitter.allocatedBytes());
    }

    /** Releases all but what the caller has yet to read. */
    void releaseIncomplete() {
        release(0);
    }

    private void hold(int bytes) {
        checkArgument(
                memory.tryHold(bytes), "no memory for %s bytes beyond the %s that are held", bytes, memory.heldBytes());
        incompleteBytes += bytes;
    }

    private void release(int stillHeld) {
        memory.release(incompleteBytes - stillHeld);
        incompleteBytes = stillHeld;
    }
}
