package org.boragebarrow.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Cuts the bytes of a text/event-stream into whole events.
 *
 * <p>Not thread-safe. An event is passed on only once its empty line came, because a target may stop in its midst.
 */
final class EventSplitter {
    private static final String ID_FIELD = "id:";

    private final int maxEventBytes;
    private byte[] pending = new byte[1_024];
    private int length;
    private int scanned;

    /** One event with its closing empty line. */
    record Event(OptionalLong id, byte[] bytes) {}

    EventSplitter(int maxEventBytes) {
        checkArgument(maxEventBytes > 0, "event bytes must be positive: %s", maxEventBytes);
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Takes bytes and returns the events that they complete.
     *
     * @throws IllegalArgumentException if an event is longer than allowed or its id is no whole number
     */
    List<Event> feed(ByteBuf bytes) {
        append(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        int end = nextEnd();
        while (end > 0) {
            events.add(event(Arrays.copyOfRange(pending, start, end)));
            start = end;
            end = nextEnd();
        }
        if (start > 0) {
            System.arraycopy(pending, start, pending, 0, length - start);
            length -= start;
            scanned -= start;
        }
        checkArgument(length <= maxEventBytes, "an event is longer than %s bytes", maxEventBytes);
        return events;
    }

    /** Returns whether bytes of an unfinished event are left. */
    boolean hasRest() {
        return length > 0;
    }

    private void append(ByteBuf bytes) {
        int more = bytes.readableBytes();
        if (length + more > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(2 * pending.length, length + more));
        }
        bytes.getBytes(bytes.readerIndex(), pending, length, more);
        length += more;
    }

    /** Returns the index behind the next empty line, or 0 if none came yet; goes on where the last call stopped. */
    private int nextEnd() {
        while (scanned < length) {
            int at = scanned++;
            if (pending[at] != '\n' || at == 0) {
                continue;
            }
            boolean lines = pending[at - 1] == '\n';
            boolean carriageLines = at >= 3 && pending[at - 1] == '\r' && pending[at - 2] == '\n';
            if (lines || carriageLines) {
                return scanned;
            }
        }
        return 0;
    }

    private static Event event(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        OptionalLong id = OptionalLong.empty();
        for (String line : text.lines().toList()) {
            if (line.startsWith(ID_FIELD)) {
                id = OptionalLong.of(parse(line.substring(ID_FIELD.length()).trim()));
            }
        }
        return new Event(id, bytes);
    }

    private static long parse(String id) {
        try {
            return Long.parseLong(id);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("event id is not a whole number: \"" + id + "\"", e);
        }
    }
}
