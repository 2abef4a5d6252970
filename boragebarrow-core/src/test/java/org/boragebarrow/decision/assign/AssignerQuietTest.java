package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
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

/** Tests how work is placed while targets want no requests of some hosts. */
class AssignerQuietTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final HostIncarnation OTHER = HostIncarnation.of(HostId.of("other"), IncarnationNumber.of(1));
    private static final int SLOTS = 20;

    private final Assigner assigner = new Assigner();
    private long counter;
    private long now;

    private static FleetTarget target(String id, long started) {
        return new FleetTarget(
                TargetId.of(id),
                SERVICE,
                Endpoint.of("10.0.0.1", id.charAt(0)),
                AvailabilityZoneId.of("zone"),
                SLOTS,
                false,
                started);
    }

    private void fleet(FleetTarget... targets) {
        apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
    }

    private ImmutableList<AssignEffect> apply(AssignEvent event) {
        return assigner.apply(event, now);
    }

    private void quiet(String id, long forMillis) {
        apply(new AssignEvent.QuietRequested(
                HOST.host(), new TargetIncarnation(TargetId.of(id), 1), Duration.ofMillis(forMillis)));
    }

    private void advance(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private AssignEffect submit(HostIncarnation host, long limitMillis, String... excluded) {
        ImmutableSet.Builder<TargetId> without = ImmutableSet.builder();
        for (String id : excluded) {
            without.add(TargetId.of(id));
        }
        return apply(new AssignEvent.Submitted(new Work(
                        AttemptId.of(host, ++counter),
                        SERVICE,
                        AvailabilityZoneId.of("zone"),
                        Optional.empty(),
                        Duration.ofMillis(2_000),
                        Optional.empty(),
                        Duration.ZERO,
                        Duration.ofMillis(limitMillis),
                        without.build(),
                        PromptParts.none(),
                        0,
                        WorkTerms.DEFAULT)))
                .get(0);
    }

    private static Optional<String> targetOf(AssignEffect effect) {
        return effect instanceof AssignEffect.Assigned assigned
                ? Optional.of(assigned.assignment().target().id().value())
                : Optional.empty();
    }

    @Example
    void workOfTheHostGoesToOtherTargetsAndThatOfOtherHostsIsNotConcerned() {
        fleet(target("a", 1), target("b", 1));
        quiet("a", 3_000);
        List<String> others = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            assertThat(targetOf(submit(HOST, 4_000))).hasValue("b");
            targetOf(submit(OTHER, 4_000)).ifPresent(others::add);
        }

        assertThat(others).contains("a");
    }

    @Example
    void workWaitsForATargetThatAcceptsRequestsAgainInTime() {
        fleet(target("a", 1));
        quiet("a", 1_000);
        assertThat(submit(HOST, 4_000)).isInstanceOf(AssignEffect.Queued.class);
        advance(990);
        assertThat(apply(new AssignEvent.Ticked())).isEmpty();
        advance(20);
        assertThat(apply(new AssignEvent.Ticked())).hasSize(1);
    }

    @Example
    void workThatCannotWaitForAnyTargetIsRefusedAtOnceWithTheEarliestTime() {
        fleet(target("a", 1), target("b", 1));
        quiet("a", 9_000);
        quiet("b", 6_000);

        AssignEffect.Refused refused = (AssignEffect.Refused) submit(HOST, 4_000);
        assertThat(refused.reason()).isEqualTo(RefusalReason.QUIET);
        assertThat(refused.retryAfter()).isEqualTo(Duration.ofMillis(6_000));
    }

    @Example
    void workWhoseOnlyTargetTurnedItAwayIsToldWhenToComeBack() {
        fleet(target("a", 1));
        quiet("a", 1_500);

        AssignEffect.Refused refused = (AssignEffect.Refused) submit(HOST, 4_000, "a");
        assertThat(refused.reason()).isEqualTo(RefusalReason.QUIET);
        assertThat(refused.retryAfter()).isEqualTo(Duration.ofMillis(1_500));
    }

    @Example
    void aTargetGetsItsWorkBackLittleByLittle() {
        fleet(target("a", 1));
        quiet("a", 1_000);
        for (int i = 0; i < 12; i++) {
            assertThat(submit(HOST, 5_000)).isInstanceOf(AssignEffect.Queued.class);
        }
        advance(1_010);
        assertThat(apply(new AssignEvent.Ticked())).hasSize(1);
        assertThat(apply(new AssignEvent.Ticked())).isEmpty();
        advance(500);
        assertThat(apply(new AssignEvent.Ticked())).hasSize(2);
        advance(2_000);
        assertThat(apply(new AssignEvent.Ticked())).isNotEmpty();
        advance(600);
        assertThat(targetOf(submit(HOST, 5_000))).hasValue("a");
    }

    /** Guards against work of other hosts that is passed over because a quiet host's work found no target. */
    @Example
    void queuedWorkOfAnotherHostIsNotPassedOver() {
        fleet(target("a", 1));
        List<AttemptId> running = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            submit(OTHER, 60_000);
            running.add(AttemptId.of(OTHER, counter));
        }
        quiet("a", 1_500);
        assertThat(submit(HOST, 5_000)).isInstanceOf(AssignEffect.Queued.class);
        assertThat(submit(OTHER, 5_000)).isInstanceOf(AssignEffect.Queued.class);
        AttemptId waiting = AttemptId.of(OTHER, counter);

        ImmutableList<AssignEffect> effects = apply(new AssignEvent.Ended(running.get(0), Outcome.SUCCEEDED));
        assertThat(((AssignEffect.Assigned) effects.get(0)).id()).isEqualTo(waiting);
    }

    @Example
    void theNextIncarnationIsServedAtOnce() {
        fleet(target("a", 1));
        quiet("a", 60_000);
        fleet(target("a", 2));

        assertThat(targetOf(submit(HOST, 4_000))).hasValue("a");
    }

    @Example
    void aHostThatWasLostBeginsAnew() {
        fleet(target("a", 1));
        quiet("a", 60_000);
        apply(new AssignEvent.HostLost(HOST.host()));

        assertThat(targetOf(submit(HOST, 4_000))).hasValue("a");
    }

    @Example
    void endlessReportsAreBounded() {
        QuietPairs pairs = new QuietPairs();
        for (int host = 0; host < 2 * QuietPairs.MAX_HOSTS; host++) {
            pairs.report(HostId.of("h" + host), new TargetIncarnation(TargetId.of("a"), 1), Duration.ofHours(1), 0);
        }
        for (int i = 0; i < 2 * QuietPairs.MAX_TARGETS_PER_HOST; i++) {
            pairs.report(HostId.of("last"), new TargetIncarnation(TargetId.of("t" + i), 1), Duration.ofHours(1), 0);
        }
        assertThat(pairs.concerns(HostId.of("h0"))).isFalse();
        FleetTarget forgotten = target("t" + (2 * QuietPairs.MAX_TARGETS_PER_HOST - 1), 1);
        assertThat(pairs.remaining(HostId.of("last"), forgotten, 0)).isEqualTo(Duration.ZERO);
        assertThat(pairs.remaining(HostId.of("last"), target("t0", 1), 0)).isEqualTo(Duration.ofHours(1));
    }
}
