package org.boragebarrow.decision.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.member.MemberEvent.Seed;
import org.boragebarrow.decision.member.MemberEvent.SeedSource;
import org.boragebarrow.decision.member.MemberEvent.SeedsListed;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;

/** A fleet of one size, whose resource use and delays are measured. */
final class MeasuredFleet {
    /** The size of a zone's summary: 46 organisations of 16 bytes each. */
    static final int SUMMARY_BYTES = 736;

    private static final long SECOND_NANOS = 1_000 * SimulatedNetwork.MILLI;
    private static final long STEP_NANOS = 20 * SimulatedNetwork.MILLI;
    private static final long WARM_UP_NANOS = 10 * SECOND_NANOS;
    private static final long MEASURED_NANOS = 20 * SECOND_NANOS;
    private static final long MEASURED_FLAT_NANOS = 5 * SECOND_NANOS;
    private static final long MAX_WAIT_NANOS = 60 * SECOND_NANOS;
    private static final long FIRST_INCARNATION = 1_796_300_000_000L;

    /** The protocols that are compared. */
    enum Protocol {
        ZONE_TIERED("zone-tiered", 0),
        ALL_TO_ALL("all-to-all heartbeats", 0),
        FLAT_FAST("flat gossip, 1.5 s timeout", 1_500),
        FLAT_CUSTOMARY("flat gossip, 15 s timeout", 15_000);

        private final String label;
        private final long timeoutMillis;

        Protocol(String label, long timeoutMillis) {
            this.label = label;
            this.timeoutMillis = timeoutMillis;
        }

        String label() {
            return label;
        }

        boolean isFlat() {
            return timeoutMillis > 0;
        }

        int zones(int size) {
            if (this == ALL_TO_ALL) {
                return 1;
            }
            return switch (size) {
                case 9 -> 3;
                case 50 -> 5;
                case 100 -> 8;
                case 200 -> 12;
                default -> 19;
            };
        }
    }

    /** The measured values; rates are per second and node. */
    record Result(
            long messages,
            long meanOut,
            long worstOut,
            long worstIn,
            long meanCpuNanos,
            long worstCpuNanos,
            long stateBytes,
            long detectedInZoneNanos,
            long detectedEverywhereNanos,
            long changePropagationNanos) {}

    private final Protocol protocol;
    private final SimulatedNetwork network;
    private final List<Member> members = new ArrayList<>();
    private final List<SimulatedHost> hosts = new ArrayList<>();
    private final List<FlatGossip> gossipNodes = new ArrayList<>();

    private MeasuredFleet(Protocol protocol, int size, long seed) {
        this.protocol = protocol;
        this.network = new SimulatedNetwork(seed, protocol.isFlat() ? FlatGossip::sizeOf : MessageSizes::sizeOf);
        int zones = protocol.zones(size);
        for (int i = 0; i < size; i++) {
            int zone = i % zones;
            HostIncarnation incarnation =
                    HostIncarnation.of(HostId.of("host-" + (1_000 + i)), IncarnationNumber.of(FIRST_INCARNATION + i));
            Endpoint endpoint = Endpoint.of("10.0." + zone + "." + (1 + i / zones % 250), 7_000 + i / zones / 250);
            members.add(new Member(incarnation, 0, AvailabilityZoneId.of("zone-" + (10 + zone)), endpoint, false));
        }
        for (int i = 0; i < size; i++) {
            start(members.get(i), seed * 1_000 + i);
        }
    }

    private void start(Member member, long seed) {
        if (protocol.isFlat()) {
            FlatGossip gossip = new FlatGossip(member, protocol.timeoutMillis * SimulatedNetwork.MILLI, seed);
            members.forEach(other -> gossip.addNode(other, 0));
            gossipNodes.add(gossip);
            network.start(member.endpoint(), gossip);
            return;
        }
        SimulatedHost host = new SimulatedHost(
                member.host().value(),
                member.incarnation().number().value(),
                member.zone().value(),
                member.endpoint(),
                MemberSettings.defaults(),
                seed);
        host.copiesMessages = true;
        hosts.add(host);
        network.start(member.endpoint(), host);
        ImmutableList<Seed> seeds = members.stream()
                .limit(protocol.zones(members.size()))
                .map(first -> new Seed(first.endpoint(), Optional.of(first.zone())))
                .collect(ImmutableList.toImmutableList());
        deliver(host, new SeedsListed(SeedSource.SETTINGS, seeds));
    }

    private void deliver(SimulatedHost host, MemberEvent event) {
        network.send(host.endpoint, host.apply(event, network.now()));
    }

    static void warmUp(Protocol protocol) {
        measure(protocol, 50, 99);
    }

    static Result measure(Protocol protocol, int size, long seed) {
        long heapBefore = usedHeap();
        MeasuredFleet fleet = new MeasuredFleet(protocol, size, seed);
        fleet.runWithSummaries(protocol.isFlat() ? MEASURED_FLAT_NANOS : WARM_UP_NANOS);
        long state = (usedHeap() - heapBefore) / size;
        fleet.network.clearTraffic();
        long measured = protocol.isFlat() ? MEASURED_FLAT_NANOS : MEASURED_NANOS;
        fleet.runWithSummaries(measured);
        Collection<SimulatedNetwork.Traffic> traffic = fleet.network.traffic().values();
        long seconds = measured / SECOND_NANOS;
        long messages = traffic.stream().mapToLong(t -> t.messages).sum() / size / seconds;
        long out = traffic.stream().mapToLong(t -> t.sentBytes).sum() / size / seconds;
        long worstOut = traffic.stream().mapToLong(t -> t.sentBytes).max().orElse(0) / seconds;
        long worstIn = traffic.stream().mapToLong(t -> t.receivedBytes).max().orElse(0) / seconds;
        long cpu = traffic.stream().mapToLong(t -> t.cpuNanos).sum() / size / seconds;
        long worstCpu = traffic.stream().mapToLong(t -> t.cpuNanos).max().orElse(0) / seconds;
        long change = fleet.measureChangePropagation();
        Member killed = fleet.members.get(size / 2);
        fleet.network.kill(killed.endpoint());
        long since = fleet.network.now();
        long inZone = fleet.waitFor(() -> fleet.isEnded(killed, m -> m.zone().equals(killed.zone())), since);
        long everywhere = fleet.waitFor(() -> fleet.isEnded(killed, m -> true), since);
        return new Result(messages, out, worstOut, worstIn, cpu, worstCpu, state, inZone, everywhere, change);
    }

    /** Runs the fleet while each zone's dispatcher makes a summary every second. */
    private void runWithSummaries(long nanos) {
        for (long elapsed = 0; elapsed < nanos; elapsed += SECOND_NANOS) {
            byte[] bytes = new byte[SUMMARY_BYTES];
            bytes[0] = (byte) (network.now() / SECOND_NANOS);
            for (SimulatedHost host : hosts) {
                boolean isDispatcher = host.memberView != null
                        && Roles.holds(host.id(), new Role.Dispatcher(), host.memberView.eligible());
                if (isDispatcher) {
                    deliver(host, new MemberEvent.SummaryChanged(Payload.copyOf(bytes)));
                }
            }
            network.run(SECOND_NANOS);
        }
    }

    private long measureChangePropagation() {
        long since = network.now();
        if (protocol.isFlat()) {
            gossipNodes.get(0).applied = 7;
            gossipNodes.get(0).highestKnown = 7;
            return waitFor(() -> gossipNodes.stream().allMatch(gossip -> gossip.highestKnown == 7), since);
        }
        deliver(hosts.get(0), new MemberEvent.AppliedChange(7));
        return waitFor(() -> hosts.stream().allMatch(host -> host.zonesView.highestKnown() == 7), since);
    }

    private boolean isEnded(Member killed, Predicate<Member> among) {
        for (int i = 0; i < members.size(); i++) {
            Member member = members.get(i);
            if (member.equals(killed) || !among.test(member)) {
                continue;
            }
            boolean ended = protocol.isFlat()
                    ? gossipNodes.get(i).isMarkedFailed(killed.endpoint())
                    : hosts.get(i).memberView.isEnded(killed.incarnation());
            if (!ended) {
                return false;
            }
        }
        return true;
    }

    /** Runs until the condition holds; returns the time since the given moment, or -1 if it does not within 60 s. */
    private long waitFor(BooleanSupplier condition, long since) {
        while (!condition.getAsBoolean()) {
            if (network.now() - since > MAX_WAIT_NANOS) {
                return -1;
            }
            network.run(STEP_NANOS);
        }
        return network.now() - since;
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        long min = Long.MAX_VALUE;
        for (int i = 0; i < 3; i++) {
            System.gc();
            min = Math.min(min, runtime.totalMemory() - runtime.freeMemory());
        }
        return min;
    }
}
