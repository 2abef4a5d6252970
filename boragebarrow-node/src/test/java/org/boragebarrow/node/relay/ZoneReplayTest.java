package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.decision.watch.WatcherChoice;
import org.boragebarrow.model.HostId;

import static com.google.common.truth.Truth.assertThat;

/** Simulates changes of a table in a large zone whose hosts have links of 14 Mbit/s, the slowest in use. */
class ZoneReplayTest {
    private static final int HOSTS = 34;
    private static final double LINK_MEGABITS = 14;

    /** The size of 249 routes. */
    private static final int TYPICAL_BYTES = 67_000;

    /** The size of 1,569 routes. */
    private static final int LARGE_BYTES = 425_000;

    /** Time within which a change must take effect on hosts that reach the store, in large deployments. */
    private static final Duration MAX_TIME_TO_EFFECT = Duration.ofSeconds(3);

    /** Maximum delay of a relayed stream event, in large deployments. */
    private static final Duration MAX_EVENT_DELAY = Duration.ofMillis(200);

    @Example
    void propagatingALargeVersionDoesNotDelayAHostsOwnCallers() {
        SimulatedZone zone = new SimulatedZone(HOSTS, LINK_MEGABITS, 1);
        long written = zone.nowMillis();
        zone.write(LARGE_BYTES);
        zone.advance(Duration.ofSeconds(10));

        assertThat(zone.slowestDelivery(written)).isAtMost(MAX_TIME_TO_EFFECT);
        assertThat(zone.maxUplinkWait()).isAtMost(MAX_EVENT_DELAY);
    }

    @Example
    void aVersionAfterALargeOneTakesEffectInTimeOnTheWatcherToo() {
        SimulatedZone zone = new SimulatedZone(HOSTS, LINK_MEGABITS, 3);
        zone.write(LARGE_BYTES);
        zone.advance(Duration.ofSeconds(2));
        long written = zone.nowMillis();
        zone.write(LARGE_BYTES);
        zone.advance(Duration.ofSeconds(10));

        assertThat(zone.slowestDelivery(written)).isAtMost(MAX_TIME_TO_EFFECT);
    }

    @Example
    void versionsInQuickSuccessionDoNotDelayAHostsOwnCallers() {
        SimulatedZone zone = new SimulatedZone(HOSTS, LINK_MEGABITS, 2);
        long written = 0;
        for (int i = 0; i < 12; i++) {
            written = zone.nowMillis();
            zone.write(TYPICAL_BYTES);
            zone.advance(Duration.ofMillis(330));
        }
        zone.advance(Duration.ofSeconds(10));

        assertThat(zone.slowestDelivery(written)).isAtMost(MAX_TIME_TO_EFFECT);
        assertThat(zone.maxUplinkWait()).isAtMost(MAX_EVENT_DELAY);
    }

    @Example
    void hostsThatTheStoreRefusesReceiveChangesFromOthers() {
        SimulatedZone zone = new SimulatedZone(HOSTS, LINK_MEGABITS, 4);
        ImmutableSet<HostId> candidates = candidates(zone);
        int refused = 0;
        for (SimulatedZone.SimulatedHost host : zone.hosts()) {
            if (candidates.contains(host.id()) || refused++ < HOSTS / 4) {
                host.access(SimulatedZone.Access.REFUSED);
            }
        }
        zone.advance(Duration.ofSeconds(4));
        long written = zone.nowMillis();
        zone.write(1_000);
        zone.advance(Duration.ofSeconds(10));

        assertThat(zone.slowestDelivery(written)).isAtMost(MAX_TIME_TO_EFFECT);
    }

    /** Returns the hosts that may follow the table on behalf of the others. */
    private static ImmutableSet<HostId> candidates(SimulatedZone zone) {
        WatcherChoice choice = new WatcherChoice(HostId.of("outside"), SimulatedZone.TABLE);
        choice.setHosts(zone.sizedHosts());
        ImmutableSet.Builder<HostId> found = ImmutableSet.builder();
        Optional<HostId> next = choice.select(0);
        while (next.isPresent()) {
            found.add(next.get());
            choice.recordFailure(next.get(), 0);
            next = choice.select(0);
        }
        return found.build();
    }

    /** How long a host must be undisturbed before its guarantees hold, in large deployments. */
    private static final Duration UNDISTURBED_TIME = Duration.ofSeconds(4);

    @Property(tries = 12, seed = "14")
    void undisturbedHostsReceiveChangesInTimeWhileOthersAreIsolated(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedZone zone = new SimulatedZone(HOSTS, LINK_MEGABITS, seed);
        for (int i = 0; i < 40; i++) {
            if (random.nextBoolean()) {
                zone.write(random.nextBoolean() ? TYPICAL_BYTES : LARGE_BYTES);
            }
            disturb(zone.hosts(), random);
            zone.advance(Duration.ofMillis(50 + random.nextInt(1_500)));
        }
        zone.advance(Duration.ofSeconds(8));

        assertThat(zone.slowestUndisturbedDelivery(UNDISTURBED_TIME)).isAtMost(MAX_TIME_TO_EFFECT);
    }

    /** Disturbs some hosts, and ends the disturbance of others. */
    private static void disturb(ImmutableList<SimulatedZone.SimulatedHost> hosts, Random random) {
        for (SimulatedZone.SimulatedHost host : hosts) {
            double sample = random.nextDouble();
            if (host.isDisturbed() && sample < 0.2) {
                host.access(SimulatedZone.Access.SERVED);
                host.isolatedFromHosts(false);
            } else if (!host.isDisturbed() && sample < 0.02) {
                host.access(random.nextBoolean() ? SimulatedZone.Access.UNRESPONSIVE : SimulatedZone.Access.REFUSED);
            } else if (!host.isDisturbed() && sample < 0.04) {
                host.isolatedFromHosts(true);
            }
        }
    }
}
