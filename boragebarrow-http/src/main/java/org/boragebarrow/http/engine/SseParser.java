package org.boragebarrow.http.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An incremental parser of server-sent events with one data line each; not thread-safe.
 *
 * <p>Throws {@link IllegalArgumentException} on any other input, and must not be used afterwards.
 */
public final class SseParser {
    /** The maximum length of a line, in bytes. */
    public static final int MAX_LINE_BYTES = 256 << 10;

    private static final String DEFAULT_TYPE = "message";
    private static final byte[] EVENT = "event: ".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA = "data: ".getBytes(StandardCharsets.US_ASCII);
    private static final int INITIAL_LINE_BYTES = 256;

    private final Sink sink;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private byte[] data = new byte[INITIAL_LINE_BYTES];
    private int dataLength;
    private boolean hasData;
    private String type = DEFAULT_TYPE;
    private boolean hasType;

    /** Receives events. */
    public interface Sink {
        /** Receives one event; the bytes are valid only during this call. */
        void onEvent(String type, byte[] data, int offset, int length);
    }

    /** Creates a parser that passes each complete event to the sink. */
    public SseParser(Sink sink) {
        this.sink = checkNotNull(sink);
    }

    /** Parses the next bytes of the stream. */
    public void feed(ByteBuf part) {
        int start = part.readerIndex();
        int end = part.writerIndex();
        while (start < end) {
            int newline = part.indexOf(start, end, (byte) '\n');
            int lineEnd = newline < 0 ? end : newline;
            append(part, start, lineEnd - start);
            if (newline < 0) {
                return;
            }
            endLine();
            start = newline + 1;
        }
    }

    private void append(ByteBuf part, int start, int length) {
        int newLength = lineLength + length;
        checkArgument(newLength <= MAX_LINE_BYTES, "line is longer than %s bytes", MAX_LINE_BYTES);
        if (newLength > line.length) {
            line = Arrays.copyOf(line, Math.min(MAX_LINE_BYTES, Math.max(newLength, 2 * line.length)));
        }
        part.getBytes(start, line, lineLength, length);
        lineLength = newLength;
    }

    private void endLine() {
        int length = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        lineLength = 0;
        if (length == 0) {
            endEvent();
        } else if (startsWith(DATA, length)) {
            acceptData(length);
        } else if (startsWith(EVENT, length)) {
            checkArgument(!hasType, "event has more than one type line");
            hasType = true;
            type = new String(line, EVENT.length, length - EVENT.length, StandardCharsets.UTF_8);
        } else {
            checkArgument(line[0] == ':', "line of %s bytes is not an event, data or comment line", length);
        }
    }

    private void acceptData(int length) {
        checkArgument(!hasData, "event has more than one data line");
        hasData = true;
        dataLength = length;
        byte[] previousData = data;
        data = line;
        line = previousData;
    }

    private void endEvent() {
        checkArgument(hasData || !hasType, "event \"%s\" has no data", type);
        if (!hasData) {
            return;
        }
        String eventType = type;
        hasData = false;
        hasType = false;
        type = DEFAULT_TYPE;
        sink.onEvent(eventType, data, DATA.length, dataLength - DATA.length);
    }

    private boolean startsWith(byte[] prefix, int length) {
        return length >= prefix.length && Arrays.equals(line, 0, prefix.length, prefix, 0, prefix.length);
    }
}
