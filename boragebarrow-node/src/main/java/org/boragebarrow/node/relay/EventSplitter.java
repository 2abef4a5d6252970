package org.boragebarrow.node.relay;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import org.boragebarrow.http.buffer.BlockBuffer;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Splits the bytes of a text/event-stream into complete events.
 *
 * <p>Not thread-safe. An event is returned only once its terminating empty line has been received, because a target may
 * fail in the middle of an event.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    /** The maximum length of an id with the white space around it, in characters. */
    private static final int MAX_ID_LENGTH = 64;

    private final int maxEventBytes;
    private BlockBuffer pending = BlockBuffer.ofUnknownSize();

    private int eventLength;
    private byte last;
    private byte secondToLast;
    private OptionalLong id = OptionalLong.empty();
    private final StringBuilder idText = new StringBuilder();
    private int lineLength;
    private boolean mayBeId = true;

    /**
     * One event including its terminating empty line.
     *
     * @param size the size of all blocks in bytes
     */
    record Event(OptionalLong id, ImmutableList<ByteBuffer> blocks, int size) {}

    EventSplitter(int maxEventBytes) {
        checkArgument(maxEventBytes > 0, "maximum event size must be positive: %s", maxEventBytes);
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Appends bytes and returns the events that they complete.
     *
     * @throws IllegalArgumentException if an event is longer than the maximum or its id is not a whole number
     */
    List<Event> feed(ByteBuf bytes) {
        byte[] copy = ByteBufUtil.getBytes(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < copy.length; i++) {
            if (endsEvent(copy[i])) {
                events.add(completeEvent(copy, start, i + 1));
                start = i + 1;
            }
        }
        int rest = copy.length - start;
        checkArgument(pending.size() + rest <= maxEventBytes, "an event is longer than %s bytes", maxEventBytes);
        pending.add(Unpooled.wrappedBuffer(copy, start, rest));
        return events;
    }

    /** Returns by how many bytes the memory for an incomplete event grows at most if so many bytes are appended. */
    int growthFor(int bytes) {
        return pending.growthFor(bytes);
    }

    /** Returns the bytes of memory that an incomplete event holds. */
    int allocatedBytes() {
        return pending.allocatedBytes();
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasIncompleteEvent() {
        return pending.size() > 0;
    }

    /** Reads the next byte; returns whether an empty line, and so the event, ends with it. */
    private boolean endsEvent(byte next) {
        boolean ends = next == '\n'
                && eventLength > 0
                && (last == '\n' || (eventLength > 2 && last == '\r' && secondToLast == '\n'));
        if (next == '\n' || next == '\r') {
            endLine();
        } else {
            readWithinLine(next);
        }
        secondToLast = last;
        last = next;
        eventLength++;
        return ends;
    }

    private void readWithinLine(byte next) {
        if (lineLength < ID_FIELD.length()) {
            mayBeId &= next == ID_FIELD.charAt(lineLength);
        } else if (mayBeId) {
            idText.append((char) next);
            checkArgument(idText.length() <= MAX_ID_LENGTH, "event id is longer than %s characters", MAX_ID_LENGTH);
        }
        lineLength++;
    }

    private void endLine() {
        if (mayBeId && lineLength >= ID_FIELD.length()) {
            id = OptionalLong.of(parseId(idText.toString().trim()));
        }
        idText.setLength(0);
        lineLength = 0;
        mayBeId = true;
    }

    private Event completeEvent(byte[] bytes, int start, int end) {
        Event event;
        if (pending.size() == 0) {
            event = new Event(id, ImmutableList.of(ByteBuffer.wrap(bytes, start, end - start)), end - start);
        } else {
            pending.add(Unpooled.wrappedBuffer(bytes, start, end - start));
            event = new Event(id, pending.toBlocks(), pending.size());
            pending = BlockBuffer.ofUnknownSize();
        }
        id = OptionalLong.empty();
        eventLength = 0;
        return event;
    }

    private static long parseId(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("event id is not a whole number: \"" + id + "\"", e);
        }
    }
}
