package org.boragebarrow.node.ring;

import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class DutyRingCloseTest {
    private static final int RING_COUNT = 300;

    @Example
    void eventsOfferedBeforeTheThreadStartsAreHandledOnClose() {
        AtomicInteger handled = new AtomicInteger();
        for (int i = 0; i < RING_COUNT; i++) {
            DutyRing<Integer> ring =
                    DutyRing.start("test", 8, event -> handled.incrementAndGet(), (name, failure) -> {});
            ring.offer(i);
            ring.close();
        }

        assertThat(handled.get()).isEqualTo(RING_COUNT);
    }
}
