package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.model.ServiceName;

import static com.google.common.truth.Truth.assertThat;

class StallTimeoutsTest {
    private static Route route(int objectiveMillis, int pauseMillis, int timeoutMillis) {
        return new Route(
                "route",
                "host",
                "/",
                RequestKind.RESUMABLE_STREAM,
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(objectiveMillis),
                Optional.of(Duration.ofMillis(pauseMillis)),
                2,
                false,
                ImmutableList.of(new Route.WeightedService(ServiceName.of("service"), 1)),
                Optional.empty(),
                ImmutableSet.of());
    }

    @Example
    void anUnresponsiveTargetIsAbandonedSoonWhileAnotherCanBeOnTime() {
        Duration timeout = StallTimeouts.firstEventTimeout(route(4_000, 1_000, 15_000), Duration.ofMillis(500));

        assertThat(timeout).isEqualTo(Duration.ofMillis(2_000));
    }

    @Example
    void anOverdueLongPromptIsNotPrefilledAgainWhileItsCallerWaits() {
        // With an objective of 3 s the caller waits for 12 s; a second prefill would miss the objective in any case.
        Duration timeout = StallTimeouts.firstEventTimeout(route(3_000, 1_000, 15_000), Duration.ofMillis(1_190));

        assertThat(timeout).isAtLeast(Duration.ofSeconds(7));
        assertThat(timeout).isLessThan(Duration.ofSeconds(12).minusMillis(1_190));
    }

    @Example
    void aTimeoutBeforeTheAbandonmentTimeBoundsTheWait() {
        Duration timeout = StallTimeouts.firstEventTimeout(route(4_000, 1_000, 6_000), Duration.ofMillis(1_500));

        assertThat(timeout).isLessThan(Duration.ofMillis(6_000 - 1_500));
    }

    @Example
    void aShortPromptIsTriedOnAnotherTargetBeforeItsCallerDisconnects() {
        Duration timeout = StallTimeouts.firstEventTimeout(route(300, 250, 10_000), Duration.ofMillis(80));

        assertThat(timeout).isEqualTo(Duration.ofMillis(1_300));
    }
}
