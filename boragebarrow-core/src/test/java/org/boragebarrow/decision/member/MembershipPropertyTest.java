package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.boragebarrow.decision.member.MemberEvent.Seed;
import org.boragebarrow.decision.member.MemberEvent.SeedSource;
import org.boragebarrow.decision.member.MemberEvent.SeedsListed;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class MembershipPropertyTest {
    private static final int ZONES = 3;
    private static final int HOSTS_PER_ZONE = 3;
    private static final double CONVERGENCE_SECONDS = 40;

    @Property(seed = "20261204", tries = 100, shrinking = ShrinkingMode.BOUNDED)
    void onceFaultsEndAllHostsAgreeAndNoEndedIncarnationIsRevived(@ForAll("faults") ActionChain<FaultyFleet> faults) {
        FaultyFleet faultyFleet = faults.run();
        faultyFleet.endFaults();
        faultyFleet.run(CONVERGENCE_SECONDS);
        for (SimulatedHost host : faultyFleet.fleet.hosts) {
            for (SimulatedHost other : faultyFleet.fleet.hosts) {
                assertWithMessage("%s as seen by %s", other.zone, host.incarnation())
                        .that(SimulatedFleet.incarnationsSeenBy(host, other.zone))
                        .isEqualTo(faultyFleet.fleet.incarnationsOf(other.zone));
            }
            assertThat(host.memberView.unreachable()).isEmpty();
        }
    }

    @Provide
    Arbitrary<ActionChain<FaultyFleet>> faults() {
        return ActionChain.startWith(FaultyFleet::new)
                .withAction(4, action("run", 50, (faulty, i) -> faulty.run(0.1 + i * 0.1)))
                .withAction(1, action("kill", 9, FaultyFleet::kill))
                .withAction(2, action("restart", 9, FaultyFleet::restart))
                .withAction(1, action("replace", 9, FaultyFleet::replace))
                .withAction(1, action("leave", 9, FaultyFleet::leave))
                .withAction(2, action("pause", 9, FaultyFleet::pause))
                .withAction(2, action("resume", 9, FaultyFleet::resume))
                .withAction(2, action("drop one way", 81, FaultyFleet::dropOneWay))
                .withAction(1, action("partition zone", 3, FaultyFleet::partitionZone))
                .withAction(1, action("partition group", 511, FaultyFleet::partitionGroup))
                .withAction(2, action("set loss ratio", 5, (faulty, i) -> faulty.fleet.network.setLossRatio(i * 0.1)))
                .withAction(2, action("heal", 1, (faulty, i) -> faulty.fleet.heal()))
                .withMaxTransformations(30);
    }

    private static Action.Independent<FaultyFleet> action(
            String name, int choices, BiConsumer<FaultyFleet, Integer> effect) {
        return () -> Arbitraries.integers()
                .between(0, choices - 1)
                .map(i -> Transformer.mutate(name + " " + i, faulty -> effect.accept(faulty, i)));
    }

    /** A fleet with injected faults; checks after each step that no host has an ended incarnation in its live view. */
    static final class FaultyFleet {
        final SimulatedFleet fleet = SimulatedFleet.start(ZONES, HOSTS_PER_ZONE, 11);
        private final List<SimulatedHost> killed = new ArrayList<>();
        private final List<HostIncarnation> departed = new ArrayList<>();
        private long incarnation = 1_000_000;
        private int replacements;

        FaultyFleet() {
            fleet.runSeconds(4);
        }

        void run(double seconds) {
            for (double elapsed = 0; elapsed < seconds; elapsed += 0.5) {
                fleet.runSeconds(Math.min(0.5, seconds - elapsed));
                fleet.hosts.forEach(FaultyFleet::check);
            }
        }

        private static void check(SimulatedHost host) {
            for (HostIncarnation incarnation : SimulatedFleet.incarnationsSeenBy(host)) {
                assertWithMessage("%s as seen by %s", incarnation, host.incarnation())
                        .that(host.memberView.isEnded(incarnation))
                        .isFalse();
            }
        }

        private SimulatedHost pick(int index) {
            return fleet.hosts.get(index % fleet.hosts.size());
        }

        void kill(int index) {
            if (fleet.hosts.size() > ZONES) {
                SimulatedHost host = pick(index);
                fleet.kill(host.id().value());
                killed.add(host);
            }
        }

        void restart(int index) {
            SimulatedHost host = killed.isEmpty() ? pick(index) : killed.remove(index % killed.size());
            if (fleet.hosts.contains(host)) {
                fleet.kill(host.id().value());
            }
            boolean reused = fleet.hosts.stream().anyMatch(other -> other.endpoint.equals(host.endpoint));
            if (!reused) {
                fleet.add(host.id().value(), ++incarnation, host.zone.value(), host.endpoint);
            }
        }

        void replace(int index) {
            SimulatedHost host = pick(index);
            fleet.kill(host.id().value());
            fleet.add("r" + ++replacements, 1, host.zone.value(), host.endpoint);
        }

        void leave(int index) {
            if (fleet.hosts.size() > ZONES) {
                SimulatedHost host = pick(index);
                fleet.deliver(host, new MemberEvent.Leaving());
                kill(index);
                departed.add(host.incarnation());
            }
        }

        void pause(int index) {
            fleet.network.pause(pick(index).endpoint);
        }

        void resume(int index) {
            fleet.network.resume(pick(index).endpoint);
        }

        void dropOneWay(int pair) {
            Endpoint from = pick(pair / 9).endpoint;
            Endpoint to = pick(pair % 9).endpoint;
            fleet.network.partition((x, y) -> x.equals(from) && y.equals(to));
        }

        void partitionZone(int zone) {
            partition(fleet.endpointsOf(SimulatedFleet.zoneName(zone)));
        }

        void partitionGroup(int bits) {
            ImmutableSet.Builder<Endpoint> group = ImmutableSet.builder();
            for (int i = 0; i < fleet.hosts.size(); i++) {
                if ((bits >> i & 1) == 1) {
                    group.add(fleet.hosts.get(i).endpoint);
                }
            }
            partition(group.build());
        }

        private void partition(ImmutableSet<Endpoint> group) {
            fleet.network.partition((x, y) -> group.contains(x) != group.contains(y));
        }

        void endFaults() {
            fleet.heal();
            fleet.network.setLossRatio(0);
            fleet.hosts.forEach(host -> fleet.network.resume(host.endpoint));
            ImmutableList<Seed> seeds = fleet.hosts.stream()
                    .map(host -> new Seed(host.endpoint, Optional.of(host.zone)))
                    .collect(ImmutableList.toImmutableList());
            fleet.hosts.forEach(host -> fleet.deliver(host, new SeedsListed(SeedSource.HOST_LIST, seeds)));
            fleet.hosts.forEach(host -> assertThat(departed).doesNotContain(host.incarnation()));
        }
    }
}
