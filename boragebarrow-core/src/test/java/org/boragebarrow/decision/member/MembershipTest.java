package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.member.MemberEvent.Seed;
import org.boragebarrow.decision.member.MemberEvent.SeedSource;
import org.boragebarrow.decision.member.MemberEvent.SeedsListed;
import org.boragebarrow.decision.member.MemberMessage.Ended;
import org.boragebarrow.decision.member.MemberMessage.Suspect;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;

import static com.google.common.truth.Truth.assertThat;

class MembershipTest {
    private static final long SEED = 7;
    private static final AvailabilityZoneId ZONE_B = AvailabilityZoneId.of("b");

    private final SimulatedFleet fleet = converged(SimulatedFleet.start(3, 3, SEED));

    private static SimulatedFleet converged(SimulatedFleet fleet) {
        fleet.runSeconds(5);
        return fleet;
    }

    @Example
    void hostsThatKnowOnlySeedsFindEachOther() {
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aLargeFleetThatStartsAtOnceAgreesWithinSixSeconds() {
        SimulatedFleet large = SimulatedFleet.start(12, 8, SEED);
        large.runSeconds(6);
        assertThat(large.hasConverged()).isTrue();
    }

    @Example
    void aKilledHostIsRemovedFromTheViewsOfItsZoneWithinThreeSeconds() {
        HostIncarnation killed = fleet.host("a1").incarnation();
        fleet.kill("a1");
        fleet.runSeconds(3);
        for (String id : ImmutableList.of("a0", "a2")) {
            assertThat(SimulatedFleet.incarnationsSeenBy(fleet.host(id))).doesNotContain(killed);
            assertThat(fleet.host(id).memberView.isEnded(killed)).isTrue();
        }
    }

    @Example
    void aKilledHostIsRemovedFromTheViewsOfOtherZones() {
        HostIncarnation killed = fleet.host("a1").incarnation();
        fleet.kill("a1");
        fleet.runSeconds(6);
        assertThat(fleet.hasConverged()).isTrue();
        assertThat(fleet.host("c2").memberView.isEnded(killed)).isTrue();
    }

    @Example
    void aHostWhoseMessagesToOnePeerAreLostStaysAlive() {
        fleet.dropMessages("a0", "a1");
        fleet.runSeconds(60);
        assertThat(fleet.hasConverged()).isTrue();
        assertThat(fleet.host("a0").incarnations).hasSize(1);
    }

    @Example
    void aHostThatIsPartitionedFromOnePeerOnlyStaysAlive() {
        fleet.partition(ImmutableSet.of(fleet.host("a0").endpoint), ImmutableSet.of(fleet.host("a1").endpoint));
        fleet.runSeconds(60);
        assertThat(fleet.hasConverged()).isTrue();
        assertThat(fleet.host("a0").incarnations).hasSize(1);
    }

    @Example
    void aPausedHostReturnsWithAnotherIncarnation() {
        SimulatedHost paused = fleet.host("b1");
        HostIncarnation former = paused.incarnation();
        fleet.network.pause(paused.endpoint);
        fleet.runSeconds(10);
        assertThat(fleet.host("b0").memberView.isEnded(former)).isTrue();
        fleet.network.resume(paused.endpoint);
        fleet.runSeconds(5);
        assertThat(paused.incarnations).hasSize(2);
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aHostThatWasPausedEndsNoOtherHost() {
        SimulatedHost paused = fleet.host("b1");
        fleet.network.pause(paused.endpoint);
        fleet.runSeconds(10);
        fleet.network.resume(paused.endpoint);
        fleet.runSeconds(5);
        assertThat(fleet.host("b0").incarnations).hasSize(1);
        assertThat(fleet.host("b2").incarnations).hasSize(1);
    }

    @Example
    void aPauseOfAHostDoesNotMakeItsPeersUnresponsive() {
        SimulatedHost host = fleet.host("b1");
        long resumed = fleet.network.now() + 10_000 * SimulatedNetwork.MILLI;
        host.apply(new MemberEvent.Ticked(), resumed);
        assertThat(SimulatedFleet.incarnationsSeenBy(host)).hasSize(3);
        assertThat(host.memberView.ended()).isEmpty();
        assertThat(host.memberView.unreachable()).isEmpty();
    }

    @Example
    void aShortPauseKeepsTheIncarnation() {
        SimulatedHost paused = fleet.host("b1");
        fleet.network.pause(paused.endpoint);
        fleet.runSeconds(1.5);
        fleet.network.resume(paused.endpoint);
        fleet.runSeconds(5);
        assertThat(paused.incarnations).hasSize(1);
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aRestartedHostSupersedesItsFormerIncarnation() {
        HostIncarnation former = fleet.host("a1").incarnation();
        Endpoint endpoint = fleet.host("a1").endpoint;
        fleet.kill("a1");
        fleet.add("a1", 2, "a", endpoint);
        fleet.runSeconds(2);
        assertThat(fleet.host("a0").memberView.isEnded(former)).isTrue();
        assertThat(SimulatedFleet.incarnationsSeenBy(fleet.host("a0")))
                .contains(fleet.host("a1").incarnation());
        fleet.runSeconds(5);
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aRestartedHostWithALowerIncarnationSwitchesToAHigherOne() {
        Endpoint endpoint = fleet.host("a1").endpoint;
        fleet.kill("a1");
        fleet.add("a1", 0, "a", endpoint);
        fleet.runSeconds(10);
        assertThat(fleet.host("a1").incarnation().number()).isGreaterThan(IncarnationNumber.of(1));
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aReplacementAtTheSameAddressEndsTheFormerHost() {
        HostIncarnation former = fleet.host("a1").incarnation();
        Endpoint endpoint = fleet.host("a1").endpoint;
        fleet.kill("a1");
        fleet.add("a9", 1, "a", endpoint);
        fleet.runSeconds(2);
        assertThat(fleet.host("a2").memberView.isEnded(former)).isTrue();
        fleet.runSeconds(5);
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aGracefulLeaveRaisesNoSuspicion() {
        fleet.hosts.forEach(host -> host.recordsSent = true);
        SimulatedHost leaving = fleet.host("c1");
        fleet.deliver(leaving, new MemberEvent.Draining());
        fleet.runSeconds(2);
        assertThat(fleet.host("c0").memberView.eligible()).doesNotContain(leaving.id());
        assertThat(fleet.host("c0").memberView.live()).containsKey(leaving.id());
        fleet.deliver(leaving, new MemberEvent.Leaving());
        fleet.kill("c1");
        fleet.runSeconds(6);
        assertThat(fleet.hasConverged()).isTrue();
        for (SimulatedHost host : fleet.hosts) {
            assertThat(host.sentMessages.stream().anyMatch(Suspect.class::isInstance))
                    .isFalse();
        }
    }

    @Example
    void aHostThatHasLeftSendsNothing() {
        SimulatedHost leaving = fleet.host("c1");
        fleet.deliver(leaving, new MemberEvent.Leaving());
        assertThat(leaving.apply(new MemberEvent.Ticked(), fleet.network.now())).isEmpty();
    }

    @Example
    void aSuspectedHostRefutesWithAHigherCount() {
        SimulatedHost suspect = fleet.host("a1");
        suspect.recordsSent = true;
        HostIncarnation reporter = fleet.host("a0").incarnation();
        fleet.deliver(suspect, new MemberEvent.MessageReceived(reporter, new Suspect(suspect.incarnation(), 4)));
        MemberMessage.Alive refutation = suspect.sentMessages.stream()
                .filter(MemberMessage.Alive.class::isInstance)
                .map(MemberMessage.Alive.class::cast)
                .findFirst()
                .orElseThrow();
        assertThat(refutation.member().refutations()).isEqualTo(5);
        assertThat(suspect.incarnations).hasSize(1);
    }

    @Example
    void aFailureReportAboutAResponsiveHostIsIgnored() {
        HostIncarnation alive = fleet.host("a1").incarnation();
        HostIncarnation reporter = fleet.host("a2").incarnation();
        fleet.deliver(fleet.host("a0"), new MemberEvent.MessageReceived(reporter, new Ended(alive)));
        assertThat(fleet.host("a0").memberView.isEnded(alive)).isFalse();
    }

    @Example
    void aHostThatWasEndedOnlyInAnotherZoneSwitchesToAnotherIncarnation() {
        HostIncarnation reporter = HostIncarnation.of(HostId.of("b8"), IncarnationNumber.of(1));
        HostIncarnation ended = fleet.host("b1").incarnation();
        ZoneDigest report = new ZoneDigest(
                ZONE_B, reporter, 1, 0, 0, 1, ImmutableList.of(), ImmutableList.of(ended), Optional.empty(), true);
        fleet.deliver(fleet.host("a1"), new MemberEvent.MessageReceived(reporter, report));
        assertThat(fleet.host("a1").memberView.isEnded(ended)).isTrue();
        fleet.runSeconds(35);
        assertThat(fleet.host("b1").incarnations).hasSize(2);
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aPartitionedZoneIsUnresponsiveButItsHostsAreNotEnded() {
        fleet.partition(fleet.endpointsOf("b"), union("a", "c"));
        fleet.runSeconds(20);
        assertThat(fleet.host("a0").zonesView.zones().get(ZONE_B).responsive()).isFalse();
        assertThat(fleet.host("a0").zonesView.zones().get(ZONE_B).members()).hasSize(3);
        assertThat(fleet.host("a0").memberView.ended()).isEmpty();
        assertThat(SimulatedFleet.incarnationsSeenBy(fleet.host("b0"))).hasSize(3);
        fleet.heal();
        fleet.runSeconds(4);
        assertThat(fleet.host("a0").zonesView.zones().get(ZONE_B).responsive()).isTrue();
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void anIsolatedHostEndsNoOtherHost() {
        SimulatedHost isolated = fleet.host("b2");
        ImmutableSet<Endpoint> rest = fleet.hosts.stream()
                .filter(host -> host != isolated)
                .map(host -> host.endpoint)
                .collect(ImmutableSet.toImmutableSet());
        fleet.partition(ImmutableSet.of(isolated.endpoint), rest);
        fleet.runSeconds(20);
        assertThat(SimulatedFleet.incarnationsSeenBy(isolated)).containsExactly(isolated.incarnation());
        assertThat(isolated.memberView.unreachable()).hasSize(2);
        assertThat(isolated.memberView.ended()).isEmpty();
        fleet.heal();
        fleet.runSeconds(15);
        assertThat(fleet.hasConverged()).isTrue();
        assertThat(fleet.host("b0").incarnations).hasSize(1);
    }

    @Example
    void aZoneIsResponsiveAgainAfterItsBridgeWasKilled() {
        for (String id : ImmutableList.of("b0", "b1")) {
            fleet.kill(id);
            fleet.runSeconds(6);
            assertThat(fleet.host("a0").zonesView.zones().get(ZONE_B).responsive())
                    .isTrue();
            assertThat(fleet.hasConverged()).isTrue();
        }
    }

    @Example
    void aHostJoinsDespiteStaleSeedsAndAnEmptySeedList() {
        ImmutableList<Seed> stale = ImmutableList.of(
                new Seed(Endpoint.of("10.9.9.9", SimulatedFleet.PORT), Optional.empty()),
                new Seed(SimulatedFleet.address(1, 2), Optional.of(AvailabilityZoneId.of("a"))));
        SimulatedHost late = fleet.add("a7", 1, "a", SimulatedFleet.address(0, 7));
        fleet.deliver(late, new SeedsListed(SeedSource.SETTINGS, ImmutableList.of()));
        fleet.deliver(late, new SeedsListed(SeedSource.HOST_LIST, stale));
        fleet.runSeconds(10);
        assertThat(late.zonesView.zones().get(ZONE_B).responsive()).isTrue();
    }

    @Example
    void aHostFindsItsZoneThroughTheSeedOfAnotherZone() {
        fleet.kill("a0");
        fleet.runSeconds(5);
        fleet.add("a7", 1, "a", SimulatedFleet.address(0, 7));
        fleet.runSeconds(5);
        assertThat(fleet.hasConverged()).isTrue();
    }

    @Example
    void aChangeNumberReachesEveryHostWithinTwoSeconds() {
        fleet.deliver(fleet.host("a0"), new MemberEvent.AppliedChange(42));
        fleet.runSeconds(2);
        fleet.hosts.forEach(host -> assertThat(host.zonesView.highestKnown()).isEqualTo(42));
    }

    @Example
    void theLowestAppliedChangeOfAZoneCountsEveryHost() {
        fleet.deliver(fleet.host("b0"), new MemberEvent.AppliedChange(5));
        fleet.deliver(fleet.host("b1"), new MemberEvent.AppliedChange(5));
        fleet.runSeconds(3);
        assertThat(fleet.host("a0").zonesView.zones().get(ZONE_B).lowestApplied())
                .isEqualTo(0);
        fleet.deliver(fleet.host("b2"), new MemberEvent.AppliedChange(5));
        fleet.runSeconds(3);
        assertThat(fleet.host("a0").zonesView.zones().get(ZONE_B).lowestApplied())
                .isEqualTo(5);
    }

    @Example
    void aSummaryReachesTheDispatchersOfOtherZones() {
        Payload payload = Payload.copyOf(new byte[] {1, 2, 3});
        fleet.deliver(fleet.host("b1"), new MemberEvent.SummaryChanged(payload));
        fleet.runSeconds(4);
        for (String zone : ImmutableList.of("a", "c")) {
            SimulatedHost any = fleet.host(zone + "0");
            HostId dispatcher = Roles.holder(new Role.Dispatcher(), any.memberView.eligible())
                    .orElseThrow();
            assertThat(fleet.host(dispatcher.value())
                            .zonesView
                            .zones()
                            .get(ZONE_B)
                            .summary())
                    .hasValue(payload);
        }
    }

    @Example
    void aFailedLinkAloneEndsNoHost() {
        Endpoint peer = fleet.host("a1").endpoint;
        for (int i = 0; i < 20; i++) {
            fleet.deliver(fleet.host("a0"), new MemberEvent.LinkDown(peer));
            fleet.runSeconds(0.7);
        }
        fleet.runSeconds(2);
        assertThat(fleet.host("a1").incarnations).hasSize(1);
        assertThat(fleet.hasConverged()).isTrue();
    }

    private ImmutableSet<Endpoint> union(String... zones) {
        ImmutableSet.Builder<Endpoint> all = ImmutableSet.builder();
        for (String zone : zones) {
            all.addAll(fleet.endpointsOf(zone));
        }
        return all.build();
    }
}
