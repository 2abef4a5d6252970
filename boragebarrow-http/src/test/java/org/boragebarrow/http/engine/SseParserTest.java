package org.boragebarrow.http.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.google.common.collect.ImmutableList;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static com.google.common.truth.Truth.assertThat;

class SseParserTest {
    private static final String STREAM =
            ": hello\n\ndata: {\"a\":\"é\"}\n\nevent: end\r\ndata: \r\n\r\n\ndata: 2\n\nevent: x\n: c\ndata: 3\n\n";
    private static final ImmutableList<String> EVENTS =
            ImmutableList.of("message|{\"a\":\"é\"}", "end|", "message|2", "x|3");

    private final List<String> events = new ArrayList<>();
    private final SseParser parser = new SseParser((type, data, offset, length) ->
            events.add(type + "|" + new String(data, offset, length, StandardCharsets.UTF_8)));

    private void feed(byte[] bytes, int start, int end) {
        parser.feed(Unpooled.wrappedBuffer(bytes, start, end - start));
    }

    private boolean fails(String stream) {
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        try {
            feed(bytes, 0, bytes.length);
            return false;
        } catch (IllegalArgumentException e) {
            return true;
        }
    }

    @Property(seed = "7", tries = 300)
    void eventsDoNotDependOnHowTheBytesAreSplit(@ForAll @Size(max = 20) List<@IntRange(max = 80) Integer> splitPoints) {
        events.clear();
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        int start = 0;
        for (int splitPoint : splitPoints.stream().sorted().toList()) {
            int end = Math.min(Math.max(start, splitPoint), bytes.length);
            feed(bytes, start, end);
            start = end;
        }
        feed(bytes, start, bytes.length);
        assertThat(events).containsExactlyElementsIn(EVENTS).inOrder();
    }

    @Example
    void anUnknownFieldIsMalformed() {
        assertThat(fails("id: 7\n")).isTrue();
    }

    @Example
    void aSecondDataLineIsMalformed() {
        assertThat(fails("data: 1\ndata: 2\n")).isTrue();
    }

    @Example
    void anEventWithoutDataIsMalformed() {
        assertThat(fails("event: end\n\n")).isTrue();
    }

    @Example
    void aLineLongerThanTheMaximumIsMalformed() {
        assertThat(fails("data: " + "x".repeat(SseParser.MAX_LINE_BYTES))).isTrue();
    }
}
