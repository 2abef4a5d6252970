package org.boragebarrow.node.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import io.netty.buffer.Unpooled;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

class EventSplitterTest {
    private static List<EventSplitter.Event> feed(EventSplitter splitter, String text) {
        return splitter.feed(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    @Property(tries = 200, seed = "11")
    void eventsDoNotDependOnHowTheBytesAreSplit(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int maxChunk) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= 20; i++) {
            text.append("id: ").append(i).append(i % 3 == 0 ? "\r\n" : "\n").append("data: x");
            text.append(i % 3 == 0 ? "\r\n\r\n" : "\n\n");
        }
        Random random = new Random(seed);
        EventSplitter splitter = new EventSplitter(1_000);
        List<EventSplitter.Event> events = new ArrayList<>();
        int start = 0;
        while (start < text.length()) {
            int end = Math.min(text.length(), start + 1 + random.nextInt(maxChunk));
            events.addAll(feed(splitter, text.substring(start, end)));
            start = end;
        }

        assertThat(events).hasSize(20);
        for (int i = 0; i < 20; i++) {
            assertThat(events.get(i).id()).isEqualTo(OptionalLong.of(i + 1));
        }
        assertThat(splitter.hasIncompleteEvent()).isFalse();
    }

    @Example
    void anEventWithoutIdHasNone() {
        assertThat(feed(new EventSplitter(100), "data: x\n\n").get(0).id()).isEqualTo(OptionalLong.empty());
    }

    @Example
    void anEventLongerThanTheMaximumIsRejected() {
        EventSplitter splitter = new EventSplitter(10);

        assertThat(isRejected(splitter, "data: 0123456789")).isTrue();
    }

    @Example
    void anIdThatIsNotANumberIsRejected() {
        EventSplitter splitter = new EventSplitter(100);

        assertThat(isRejected(splitter, "id: x\n\n")).isTrue();
    }

    private static boolean isRejected(EventSplitter splitter, String text) {
        try {
            feed(splitter, text);
            return false;
        } catch (IllegalArgumentException e) {
            return true;
        }
    }
}
