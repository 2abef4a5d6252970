package org.boragebarrow.node.relay;

import java.time.Duration;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class RelayHostTest {
    /** Probes of the balancer that have to fail, a second apart. */
    private static final Duration NOTICED = Duration.ofSeconds(2);

    /** What is sent later than this after the order to stop has to end within the grace. */
    private static final Duration EXCUSED = Duration.ofSeconds(3);

    @Example
    void aHostThatStopsTakesRequestsUntilTheBalancerNoticedAndNoneThatItMightHaveToCutOff() {
        assertThat(RelayHost.STOP_ACCEPTING_AFTER).isGreaterThan(NOTICED);
        assertThat(RelayHost.STOP_ACCEPTING_AFTER).isLessThan(EXCUSED);
    }
}
