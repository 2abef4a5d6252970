package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

class TargetLoadTest {
    private static final Optional<EngineProfile> ENGINE = Optional.of(SimulatedLoad.ENGINE);
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));

    private final TargetLoad load = new TargetLoad(
            new FleetTarget(
                    TargetId.of("a"),
                    ServiceName.of("model"),
                    Endpoint.of("10.0.0.1", 80),
                    AvailabilityZoneId.of("zone"),
                    SimulatedLoad.ENGINE.slots(),
                    false,
                    1),
            0);

    private AttemptId add(long number, long tokens) {
        Work work = new Work(
                AttemptId.of(HOST, number),
                ServiceName.of("model"),
                AvailabilityZoneId.of("zone"),
                Optional.of(new PromptSize(tokens, 700)),
                Duration.ofMillis(300),
                Optional.of(Duration.ofMillis(250)),
                Duration.ZERO,
                Duration.ofSeconds(10),
                ImmutableSet.of(),
                PromptParts.none(),
                0,
                WorkTerms.DEFAULT);
        load.add(AttemptPart.forOwner(work, ImmutableList.of(), ENGINE, 0));
        return work.id();
    }

    private void advanceTo(long millis) {
        load.advance(TimeUnit.MILLISECONDS.toNanos(millis), ENGINE);
    }

    /** Guards against sums that are kept although the parts have changed. */
    @Example
    void theBacklogFallsWithTimeBesideAnAnswer() {
        load.onPrefilled(add(1, 1_000));
        add(2, 20_000);
        double before = load.prefillBacklogMillis();
        advanceTo(50);
        double during = load.prefillBacklogMillis();
        advanceTo(1_000);

        assertThat(during).isLessThan(before - 1);
        assertThat(load.prefillBacklogMillis()).isEqualTo(0);
        assertThat(load.decodingCount()).isEqualTo(1);
    }

    @Example
    void theSumsFollowThePartsThatComeAndGo() {
        AttemptId first = add(1, 1_000);
        add(2, 2_000);
        assertThat(load.ownedCount()).isEqualTo(2);
        assertThat(load.memoryTokens()).isEqualTo(1_000 + 2_000 + 2 * 700);
        load.remove(first);

        assertThat(load.ownedCount()).isEqualTo(1);
        assertThat(load.memoryTokens()).isEqualTo(2_700);
        assertThat(load.isIdle()).isFalse();
    }
}
