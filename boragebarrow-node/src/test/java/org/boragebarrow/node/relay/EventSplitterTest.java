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

    private static String text(EventSplitter.Event event) {
        StringBuilder text = new StringBuilder();
        event.blocks().forEach(block -> text.append(StandardCharsets.UTF_8.decode(block.duplicate())));
        return text.toString();
    }

    @Property(tries = 200, seed = "48")
    void theBytesOfEventsAreThoseThatWereReceived(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 5_000) int maxChunk) {
        Random random = new Random(seed);
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            sent.add("data: " + "x".repeat(random.nextInt(3_000)) + (i % 2 == 0 ? "\nid:" + i + "\n\n" : "\r\n\r\n"));
        }
        String text = String.join("", sent);
        EventSplitter splitter = new EventSplitter(10_000);
        List<String> received = new ArrayList<>();
        int start = 0;
        while (start < text.length()) {
            int end = Math.min(text.length(), start + 1 + random.nextInt(maxChunk));
            int growth = splitter.growthFor(end - start);
            int before = splitter.allocatedBytes();
            feed(splitter, text.substring(start, end)).forEach(event -> received.add(text(event)));
            assertThat(splitter.allocatedBytes()).isAtMost(before + growth);
            start = end;
        }

        assertThat(received).isEqualTo(sent);
        assertThat(splitter.allocatedBytes()).isEqualTo(0);
    }

    @Example
    void anIdWithoutAnEndIsRejected() {
        assertThat(isRejected(new EventSplitter(1_000), "id: " + "1".repeat(100)))
                .isTrue();
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
