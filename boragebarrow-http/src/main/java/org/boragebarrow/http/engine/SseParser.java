package org.boragebarrow.http.engine;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Splits a stream of bytes into server-sent events with one data line each; not thread-safe.
 *
 * <p>Throws {@link IllegalArgumentException} on anything else, and must not be used after that.
 */
public final class SseParser {
    /** The longest line, in bytes. */
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
        /** Receives one event; the bytes are valid during the call only. */
        void onEvent(String type, byte[] data, int offset, int length);
    }

    /** Creates a parser that hands each whole event to the sink. */
    public SseParser(Sink sink) {
        this.sink = checkNotNull(sink);
    }

    /** Takes in the next bytes. */
    public void feed(ByteBuf part) {
        int start = part.readerIndex();
        int end = part.writerIndex();
        while (start < end) {
            int newline = part.indexOf(start, end, (byte) '\n');
            int stop = newline < 0 ? end : newline;
            append(part, start, stop - start);
            if (newline < 0) {
                return;
            }
            endLine();
            start = newline + 1;
        }
    }

    private void append(ByteBuf part, int start, int length) {
        int wanted = lineLength + length;
        checkArgument(wanted <= MAX_LINE_BYTES, "line is longer than %s bytes", MAX_LINE_BYTES);
        if (wanted > line.length) {
            line = Arrays.copyOf(line, Math.min(MAX_LINE_BYTES, Math.max(wanted, 2 * line.length)));
        }
        part.getBytes(start, line, lineLength, length);
        lineLength = wanted;
    }

    private void endLine() {
        int length = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        lineLength = 0;
        if (length == 0) {
            endEvent();
        } else if (startsWith(DATA, length)) {
            takeData(length);
        } else if (startsWith(EVENT, length)) {
            checkArgument(!hasType, "event has two types");
            hasType = true;
            type = new String(line, EVENT.length, length - EVENT.length, StandardCharsets.UTF_8);
        } else {
            checkArgument(line[0] == ':', "neither a type, data nor a comment in a line of %s bytes", length);
        }
    }

    private void takeData(int length) {
        checkArgument(!hasData, "event has two data lines");
        hasData = true;
        dataLength = length;
        byte[] swapped = data;
        data = line;
        line = swapped;
    }

    private void endEvent() {
        checkArgument(hasData || !hasType, "event \"%s\" has no data", type);
        if (!hasData) {
            return;
        }
        String ended = type;
        hasData = false;
        hasType = false;
        type = DEFAULT_TYPE;
        sink.onEvent(ended, data, DATA.length, dataLength - DATA.length);
    }

    private boolean startsWith(byte[] prefix, int length) {
        return length >= prefix.length && Arrays.equals(line, 0, prefix.length, prefix, 0, prefix.length);
    }
}
