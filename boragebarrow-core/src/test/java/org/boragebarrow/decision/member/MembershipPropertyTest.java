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
    private static final double SECONDS_TO_AGREE = 40;

    @Property(seed = "20261204", tries = 100, shrinking = ShrinkingMode.BOUNDED)
    void onceFaultsEndAllHostsAgreeAndNoEndedLifeIsRevived(@ForAll("faults") ActionChain<Faulty> faults) {
        Faulty faultyFleet = faults.run();
        faultyFleet.endFaults();
        faultyFleet.run(SECONDS_TO_AGREE);
        for (SimulatedHost host : faultyFleet.fleet.hosts) {
            for (SimulatedHost other : faultyFleet.fleet.hosts) {
                assertWithMessage("%s as seen by %s", other.zone, host.life())
                        .that(SimulatedFleet.livesSeenBy(host, other.zone))
                        .isEqualTo(faultyFleet.fleet.livesOf(other.zone));
            }
            assertThat(host.members.unreachable()).isEmpty();
        }
    }

    @Provide
    Arbitrary<ActionChain<Faulty>> faults() {
        return ActionChain.startWith(Faulty::new)
                .withAction(4, action("run", 50, (faulty, i) -> faulty.run(0.1 + i * 0.1)))
                .withAction(1, action("kill", 9, Faulty::kill))
                .withAction(2, action("restart", 9, Faulty::restart))
                .withAction(1, action("replace", 9, Faulty::replace))
                .withAction(1, action("leave", 9, Faulty::leave))
                .withAction(2, action("pause", 9, Faulty::pause))
                .withAction(2, action("resume", 9, Faulty::resume))
                .withAction(2, action("drop one way", 81, Faulty::deafen))
                .withAction(1, action("partition zone", 3, Faulty::cutZone))
                .withAction(1, action("partition group", 511, Faulty::cutGroup))
                .withAction(2, action("set loss ratio", 5, (faulty, i) -> faulty.fleet.network.lose(i * 0.1)))
                .withAction(2, action("heal", 1, (faulty, i) -> faulty.fleet.heal()))
                .withMaxTransformations(30);
    }

    private static Action.Independent<Faulty> action(String name, int choices, BiConsumer<Faulty, Integer> effect) {
        return () -> Arbitraries.integers()
                .between(0, choices - 1)
                .map(i -> Transformer.mutate(name + " " + i, faulty -> effect.accept(faulty, i)));
    }

    /** A fleet with injected faults; checks after each step that no host has an ended incarnation in its live view. */
    static final class Faulty {
        final SimulatedFleet fleet = SimulatedFleet.start(ZONES, HOSTS_PER_ZONE, 11);
        private final List<SimulatedHost> gone = new ArrayList<>();
        private final List<HostIncarnation> left = new ArrayList<>();
        private long incarnation = 1_000_000;
        private int replacements;

        Faulty() {
            fleet.runSeconds(4);
        }

        void run(double seconds) {
            for (double elapsed = 0; elapsed < seconds; elapsed += 0.5) {
                fleet.runSeconds(Math.min(0.5, seconds - elapsed));
                fleet.hosts.forEach(Faulty::check);
            }
        }

        private static void check(SimulatedHost host) {
            for (HostIncarnation incarnation : SimulatedFleet.livesSeenBy(host)) {
                assertWithMessage("%s as seen by %s", incarnation, host.life())
                        .that(host.members.isEnded(incarnation))
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
                gone.add(host);
            }
        }

        void restart(int index) {
            SimulatedHost host = gone.isEmpty() ? pick(index) : gone.remove(index % gone.size());
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
                fleet.tell(host, new MemberEvent.Leaving());
                kill(index);
                left.add(host.life());
            }
        }

        void pause(int index) {
            fleet.network.pause(pick(index).endpoint);
        }

        void resume(int index) {
            fleet.network.resume(pick(index).endpoint);
        }

        void deafen(int pair) {
            Endpoint from = pick(pair / 9).endpoint;
            Endpoint to = pick(pair % 9).endpoint;
            fleet.network.cut((x, y) -> x.equals(from) && y.equals(to));
        }

        void cutZone(int zone) {
            cut(fleet.endpointsOf(SimulatedFleet.zoneName(zone)));
        }

        void cutGroup(int bits) {
            ImmutableSet.Builder<Endpoint> group = ImmutableSet.builder();
            for (int i = 0; i < fleet.hosts.size(); i++) {
                if ((bits >> i & 1) == 1) {
                    group.add(fleet.hosts.get(i).endpoint);
                }
            }
            cut(group.build());
        }

        private void cut(ImmutableSet<Endpoint> group) {
            fleet.network.cut((x, y) -> group.contains(x) != group.contains(y));
        }

        void endFaults() {
            fleet.heal();
            fleet.network.lose(0);
            fleet.hosts.forEach(host -> fleet.network.resume(host.endpoint));
            ImmutableList<Seed> seeds = fleet.hosts.stream()
                    .map(host -> new Seed(host.endpoint, Optional.of(host.zone)))
                    .collect(ImmutableList.toImmutableList());
            fleet.hosts.forEach(host -> fleet.tell(host, new SeedsListed(SeedSource.HOST_LIST, seeds)));
            fleet.hosts.forEach(host -> assertThat(left).doesNotContain(host.life()));
        }
    }
}
