package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.member.MemberEvent.Seed;
import org.boragebarrow.decision.member.MemberEvent.SeedSource;
import org.boragebarrow.decision.member.MemberEvent.SeedsListed;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;

/** Hosts of several zones in a simulated network. */
final class SimulatedFleet {
    static final int PORT = 7000;

    final SimulatedNetwork network;
    final List<SimulatedHost> hosts = new ArrayList<>();
    private final MemberSettings settings = MemberSettings.defaults();
    private final int zones;
    private final long seed;

    SimulatedFleet(int zones, long seed) {
        this.zones = zones;
        this.seed = seed;
        this.network = new SimulatedNetwork(seed, MessageSizes::sizeOf);
    }

    /** Starts hosts {@code a0, a1, ..., b0, ...} that all have the first host of each zone as a seed. */
    static SimulatedFleet start(int zones, int hostsPerZone, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(zones, seed);
        for (int z = 0; z < zones; z++) {
            for (int h = 0; h < hostsPerZone; h++) {
                fleet.add(zoneName(z) + h, 1, zoneName(z), address(z, h));
            }
        }
        return fleet;
    }

    static String zoneName(int zone) {
        return String.valueOf((char) ('a' + zone));
    }

    static Endpoint address(int zone, int host) {
        return Endpoint.of("10.0." + zone + "." + (host + 1), PORT);
    }

    SimulatedHost add(String id, long incarnation, String zone, Endpoint endpoint) {
        SimulatedHost host = new SimulatedHost(id, incarnation, zone, endpoint, settings, seed + hosts.size());
        hosts.add(host);
        network.start(endpoint, host);
        ImmutableList.Builder<Seed> seeds = ImmutableList.builder();
        for (int z = 0; z < zones; z++) {
            seeds.add(new Seed(address(z, 0), Optional.of(AvailabilityZoneId.of(zoneName(z)))));
        }
        deliver(host, new SeedsListed(SeedSource.SETTINGS, seeds.build()));
        return host;
    }

    SimulatedHost host(String id) {
        List<SimulatedHost> found =
                hosts.stream().filter(host -> host.id().value().equals(id)).toList();
        return found.get(found.size() - 1);
    }

    void deliver(SimulatedHost host, MemberEvent event) {
        network.send(host.endpoint, host.apply(event, network.now()));
    }

    void kill(String id) {
        SimulatedHost host = host(id);
        network.kill(host.endpoint);
        hosts.remove(host);
    }

    /** Drops all messages from one host to another. */
    void dropMessages(String from, String to) {
        Endpoint a = host(from).endpoint;
        Endpoint b = host(to).endpoint;
        network.partition((x, y) -> x.equals(a) && y.equals(b));
    }

    /** Drops all messages between two groups, in both directions. */
    void partition(ImmutableSet<Endpoint> one, ImmutableSet<Endpoint> other) {
        BiPredicate<Endpoint, Endpoint> crosses = (x, y) -> one.contains(x) && other.contains(y);
        network.partition((x, y) -> crosses.test(x, y) || crosses.test(y, x));
    }

    void heal() {
        network.partition((x, y) -> false);
    }

    ImmutableSet<Endpoint> endpointsOf(String zone) {
        return hosts.stream()
                .filter(host -> host.zone.value().equals(zone))
                .map(host -> host.endpoint)
                .collect(ImmutableSet.toImmutableSet());
    }

    void runSeconds(double seconds) {
        network.run((long) (seconds * 1_000) * SimulatedNetwork.MILLI);
    }

    /** Returns the current incarnations of the zone's hosts. */
    ImmutableSet<HostIncarnation> incarnationsOf(AvailabilityZoneId zone) {
        return hosts.stream()
                .filter(host -> host.zone.equals(zone))
                .map(SimulatedHost::incarnation)
                .collect(ImmutableSet.toImmutableSet());
    }

    static ImmutableSet<HostIncarnation> incarnationsSeenBy(SimulatedHost host) {
        return host.memberView.live().values().stream().map(Member::incarnation).collect(ImmutableSet.toImmutableSet());
    }

    static ImmutableSet<HostIncarnation> incarnationsSeenBy(SimulatedHost host, AvailabilityZoneId zone) {
        if (host.zone.equals(zone)) {
            return incarnationsSeenBy(host);
        }
        ZonesView.ZoneStatus status = host.zonesView.zones().get(zone);
        return status == null
                ? ImmutableSet.of()
                : status.members().stream().map(Member::incarnation).collect(ImmutableSet.toImmutableSet());
    }

    /** Returns whether every host's view of every zone has exactly the current incarnations of its hosts. */
    boolean hasConverged() {
        ImmutableSet<AvailabilityZoneId> present =
                hosts.stream().map(host -> host.zone).collect(ImmutableSet.toImmutableSet());
        return hosts.stream()
                .allMatch(host -> present.stream()
                        .allMatch(zone -> incarnationsSeenBy(host, zone).equals(incarnationsOf(zone))));
    }
}
