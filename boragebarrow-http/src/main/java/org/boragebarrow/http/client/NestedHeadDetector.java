package org.boragebarrow.http.client;

import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Finds the head of another response that begins within a body, as where a server breaks off a response and sends the next one on
 * the same connection.
 *
 * <p>A body may quote a response; only one with the id of a call counts. Not thread-safe.
 */
final class NestedHeadDetector {
    private static final String START = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}( .*)?");
    private static final String LINE_END = "\r\n";
    private static final ByteBuf START_BYTES =
            Unpooled.unreleasableBuffer(Unpooled.copiedBuffer(START, StandardCharsets.ISO_8859_1));

    /** The length within which the id is looked for, in bytes. */
    private static final int MAX_HEAD_BYTES = 4 << 10;

    private final String header;
    private final Predicate<String> isCallId;

    /** The bytes from the last place at which a head may have begun; empty if there is none. */
    private String pending = "";

    /**
     * Creates a detector.
     *
     * @param header the header with the id
     * @param isCallId whether an id is that of a call whose response may arrive
     */
    NestedHeadDetector(String header, Predicate<String> isCallId) {
        this.header = header + ":";
        this.isCallId = checkNotNull(isCallId);
    }

    /** Reads the next part of the body; returns whether a head was found. */
    boolean feed(ByteBuf part) {
        if (pending.isEmpty() && ByteBufUtil.indexOf(START_BYTES.duplicate(), part) < 0) {
            int tail = Math.min(part.readableBytes(), START.length() - 1);
            pending = possibleStart(part.toString(part.writerIndex() - tail, tail, StandardCharsets.ISO_8859_1));
            return false;
        }
        return find(pending + part.toString(StandardCharsets.ISO_8859_1));
    }

    /** Returns whether a head that began within the body continues in the bytes that were received behind it. */
    boolean continuesIn(String received) {
        return !pending.isEmpty() && find(pending + received);
    }

    private boolean find(String text) {
        // Each is looked for again only once the search has passed it, so that the time is linear in the length.
        int lineEnd = -1;
        int headEnd = -1;
        for (int start = text.indexOf(START); start >= 0; start = text.indexOf(START, start + 1)) {
            int end = Math.min(text.length(), start + MAX_HEAD_BYTES);
            lineEnd = lineEnd < start ? indexOrEnd(text, LINE_END, start) : lineEnd;
            headEnd = headEnd < start ? indexOrEnd(text, LINE_END + LINE_END, start) : headEnd;
            if (lineEnd < end && isHeadOfCall(text, start, lineEnd, end)) {
                return true;
            }
            if (end == text.length() && headEnd == text.length()) {
                pending = text.substring(start);
                return false;
            }
        }
        pending = possibleStart(text);
        return false;
    }

    private static int indexOrEnd(String text, String part, int from) {
        int index = text.indexOf(part, from);
        return index < 0 ? text.length() : index;
    }

    private boolean isHeadOfCall(String text, int start, int statusLineEnd, int end) {
        if (!STATUS_LINE.matcher(text).region(start, statusLineEnd).matches()) {
            return false;
        }
        int line = statusLineEnd + LINE_END.length();
        int lineEnd = text.indexOf(LINE_END, line);
        while (lineEnd > line && lineEnd < end) {
            boolean hasId = text.regionMatches(true, line, header, 0, header.length());
            if (hasId
                    && isCallId.test(
                            text.substring(line + header.length(), lineEnd).trim())) {
                return true;
            }
            line = lineEnd + LINE_END.length();
            lineEnd = text.indexOf(LINE_END, line);
        }
        return false;
    }

    /** Returns the longest end of the text with which a head may begin. */
    private static String possibleStart(String text) {
        for (int length = Math.min(text.length(), START.length() - 1); length > 0; length--) {
            String end = text.substring(text.length() - length);
            if (START.startsWith(end)) {
                return end;
            }
        }
        return "";
    }
}
