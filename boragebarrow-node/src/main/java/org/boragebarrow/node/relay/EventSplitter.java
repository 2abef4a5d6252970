package org.boragebarrow.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Splits the bytes of a text/event-stream into complete events.
 *
 * <p>Not thread-safe. An event is returned only once its terminating empty line has been received, because a target may
 * fail in the middle of an event.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final int maxEventBytes;
    private byte[] pending = new byte[1_024];
    private int length;
    private int scanned;

    /** One event including its terminating empty line. */
    record Event(OptionalLong id, byte[] bytes) {}

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
        append(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        int end = findEventEnd();
        while (end > 0) {
            events.add(parseEvent(Arrays.copyOfRange(pending, start, end)));
            start = end;
            end = findEventEnd();
        }
        if (start > 0) {
            System.arraycopy(pending, start, pending, 0, length - start);
            length -= start;
            scanned -= start;
        }
        checkArgument(length <= maxEventBytes, "an event is longer than %s bytes", maxEventBytes);
        return events;
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasIncompleteEvent() {
        return length > 0;
    }

    private void append(ByteBuf bytes) {
        int added = bytes.readableBytes();
        if (length + added > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, length + added));
        }
        bytes.getBytes(bytes.readerIndex(), pending, length, added);
        length += added;
    }

    /** Returns the index after the next empty line, or 0 if there is none yet; resumes where the last call stopped. */
    private int findEventEnd() {
        while (scanned < length) {
            int index = scanned++;
            if (pending[index] != '\n' || index == 0) {
                continue;
            }
            boolean emptyLine = pending[index - 1] == '\n';
            boolean emptyCrLfLine = index >= 3 && pending[index - 1] == '\r' && pending[index - 2] == '\n';
            if (emptyLine || emptyCrLfLine) {
                return scanned;
            }
        }
        return 0;
    }

    private static Event parseEvent(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        OptionalLong id = OptionalLong.empty();
        for (String line : text.lines().toList()) {
            if (line.startsWith(ID_FIELD)) {
                id = OptionalLong.of(parseId(line.substring(ID_FIELD.length()).trim()));
            }
        }
        return new Event(id, bytes);
    }

    private static long parseId(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("event id is not a whole number: \"" + id + "\"", e);
        }
    }
}
