package org.boragebarrow.node.relay;

import java.time.Duration;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class RelayHostTest {
    /** Duration of the two probes, a second apart, that must fail before the balancer stops sending requests. */
    private static final Duration PROBE_FAILURE_TIME = Duration.ofSeconds(2);

    /** A request sent later than this after the signal to stop must end within the grace period. */
    private static final Duration ABORT_ALLOWED_WITHIN = Duration.ofSeconds(3);

    @Example
    void aStoppingHostAcceptsRequestsUntilTheBalancerHasNoticedButNoneThatItMayHaveToAbort() {
        assertThat(RelayHost.STOP_ACCEPTING_AFTER).isGreaterThan(PROBE_FAILURE_TIME);
        assertThat(RelayHost.STOP_ACCEPTING_AFTER).isLessThan(ABORT_ALLOWED_WITHIN);
    }
}
