package org.boragebarrow.node.ring;

import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class DutyRingCloseTest {
    private static final int RINGS = 300;

    @Example
    void whatWasOfferedBeforeTheThreadFirstRanIsHandledAtTheClose() {
        AtomicInteger handled = new AtomicInteger();
        for (int i = 0; i < RINGS; i++) {
            DutyRing<Integer> ring =
                    DutyRing.start("test", 8, event -> handled.incrementAndGet(), (name, failure) -> {});
            ring.offer(i);
            ring.close();
        }

        assertThat(handled.get()).isEqualTo(RINGS);
    }
}
