package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.home.ZoneRegions;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

/** Tests that work reaches only the targets that operators let it use. */
class AssignerPermissionsTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final AvailabilityZoneId A = AvailabilityZoneId.of("a");
    private static final AvailabilityZoneId B = AvailabilityZoneId.of("b");

    private final Assigner assigner = new Assigner();
    private final FleetTarget inA = target("in-a", A, 3);
    private final FleetTarget inB = target("in-b", B, 3);
    private long counter;
    private long now;

    private static FleetTarget target(String id, AvailabilityZoneId zone, int slots) {
        return new FleetTarget(
                TargetId.of(id), SERVICE, Endpoint.of("10.0.0.1", id.hashCode() & 0xfff), zone, slots, false, 1);
    }

    private void fleet(FleetTarget... targets) {
        apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
    }

    private void emptied(AvailabilityZoneId... zones) {
        apply(new AssignEvent.ZonesEmptied(ImmutableSet.copyOf(zones)));
    }

    private ImmutableList<AssignEffect> apply(AssignEvent event) {
        return assigner.apply(event, now);
    }

    private AssignEffect submit(WorkTerms terms) {
        return apply(new AssignEvent.Submitted(new Work(
                        AttemptId.of(HOST, ++counter),
                        SERVICE,
                        A,
                        Optional.empty(),
                        Duration.ofSeconds(2),
                        Optional.empty(),
                        Duration.ZERO,
                        Duration.ofSeconds(4),
                        ImmutableSet.of(),
                        PromptParts.none(),
                        0,
                        terms)))
                .get(0);
    }

    private AssignEffect submit() {
        return submit(WorkTerms.DEFAULT);
    }

    private static Optional<FleetTarget> targetOf(AssignEffect effect) {
        return effect instanceof AssignEffect.Assigned assigned
                ? Optional.of(assigned.assignment().target())
                : Optional.empty();
    }

    private static Optional<RefusalReason> reasonOf(AssignEffect effect) {
        return effect instanceof AssignEffect.Refused refused ? Optional.of(refused.reason()) : Optional.empty();
    }

    @Example
    void anEmptiedZoneGetsNoWorkAlthoughItIsTheNearest() {
        fleet(inA, inB);
        emptied(A);
        for (int i = 0; i < 3; i++) {
            assertThat(targetOf(submit())).hasValue(inB);
        }
        assertThat(submit()).isInstanceOf(AssignEffect.Queued.class);
    }

    @Example
    void aZoneThatTheWorksHostTakesForEmptiedGetsNoneOfIts() {
        fleet(inA, inB);
        assertThat(targetOf(submit(WorkTerms.DEFAULT.withClosedZones(ImmutableSet.of(A)))))
                .hasValue(inB);
        assertThat(targetOf(submit())).hasValue(inA);
    }

    @Example
    void aTargetThatFailsIsPreferredToOneOfAnEmptiedZone() {
        fleet(inA, inB);
        for (int i = 0; i < 3; i++) {
            AssignEffect sent = submit(WorkTerms.DEFAULT.withClosedZones(ImmutableSet.of(A)));
            apply(new AssignEvent.Ended(((AssignEffect.Assigned) sent).id(), Outcome.ABORTED));
        }
        emptied(A);

        assertThat(targetOf(submit())).hasValue(inB);
    }

    @Example
    void allZonesEmptiedRefusesNewAndQueuedWorkAtOnce() {
        fleet(target("only", A, 1));
        submit();
        assertThat(submit()).isInstanceOf(AssignEffect.Queued.class);
        ImmutableList<AssignEffect> effects = apply(new AssignEvent.ZonesEmptied(ImmutableSet.of(A, B)));

        assertThat(reasonOf(effects.get(0))).hasValue(RefusalReason.ZONES_EMPTIED);
        assertThat(reasonOf(submit())).hasValue(RefusalReason.ZONES_EMPTIED);
    }

    private static WorkTerms homes(String... regions) {
        return WorkTerms.DEFAULT.withHomes(
                Optional.of(Arrays.stream(regions).map(RegionId::of).collect(ImmutableSet.toImmutableSet())));
    }

    private void regionOfA(String region) {
        apply(new AssignEvent.RegionsChanged(new ZoneRegions(ImmutableMap.of(A, RegionId.of(region)))));
    }

    @Example
    void workWithHomesReachesTargetsInThemOnlyAndOthersReachAll() {
        fleet(inA, inB);
        regionOfA("home");
        for (int i = 0; i < 3; i++) {
            assertThat(targetOf(submit(homes("home")))).hasValue(inA);
        }
        assertThat(submit(homes("home"))).isInstanceOf(AssignEffect.Queued.class);
        assertThat(targetOf(submit())).hasValue(inB);
    }

    @Example
    void noTargetAtHomeRefusesTheWorkAtOnceAndAZoneOfUnknownRegionIsOutsideEveryHome() {
        fleet(inA, inB);
        assertThat(reasonOf(submit(homes("home")))).hasValue(RefusalReason.OUTSIDE_HOMES);
        regionOfA("home");
        assertThat(reasonOf(submit(homes("elsewhere")))).hasValue(RefusalReason.OUTSIDE_HOMES);
        assertThat(reasonOf(submit(homes()))).hasValue(RefusalReason.OUTSIDE_HOMES);
        emptied(A);
        assertThat(reasonOf(submit(homes("home")))).hasValue(RefusalReason.ZONES_EMPTIED);
    }

    @Example
    void aZoneThatIsTakenBackGetsWorkAgain() {
        fleet(inA, inB);
        emptied(A, B);
        now += TimeUnit.SECONDS.toNanos(9);
        emptied(B);

        assertThat(targetOf(submit())).hasValue(inA);
    }
}
