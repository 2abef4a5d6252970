package org.boragebarrow.decision.member;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;

/** Sends this zone's digest to other zones, and passes theirs on inside this zone. */
final class Digests {
    private static final int ATTEMPTS_PER_SILENT_ZONE = 2;

    private final MemberSettings settings;
    private final AvailabilityZoneId own;
    private final Zones zones;
    private final Peers peers;
    private Optional<Summary> summary = Optional.empty();
    private boolean summaryPending;
    private long summarySequence;
    private long sequence;
    private long nextDigestNanos;
    private long nextSummaryNanos;

    Digests(MemberSettings settings, AvailabilityZoneId own, Zones zones, Peers peers) {
        this.settings = settings;
        this.own = own;
        this.zones = zones;
        this.peers = peers;
    }

    /**
     * This zone at one moment.
     *
     * @param eligible the hosts that may hold roles
     */
    record Situation(
            Member self,
            ImmutableList<Member> live,
            ImmutableSet<HostId> eligible,
            ImmutableList<HostLife> ended,
            long lowestApplied,
            long highestKnown) {}

    void start(long now, SplittableRandom random) {
        nextDigestNanos = now + random.nextLong(settings.digest().toNanos());
        nextSummaryNanos = now;
    }

    /** Sends the next digests soon, as a higher change number is known. */
    void hurry(long now) {
        nextDigestNanos = now;
    }

    /** Takes a summary that this host made. */
    void summarise(Member self, Payload payload) {
        summary = Optional.of(new Summary(self.life(), ++summarySequence, payload));
        summaryPending = true;
    }

    /** Takes a summary that another host of this zone made. */
    void adopt(Summary offered) {
        if (summary.isEmpty() || offered.replaces(summary.get())) {
            summary = Optional.of(offered);
            summaryPending = false;
        }
    }

    void tick(Supplier<Situation> zone, Outbox out, long now) {
        boolean shares = summaryPending && now - nextSummaryNanos >= 0;
        if (shares) {
            nextSummaryNanos = now + settings.summary().toNanos();
            summaryPending = false;
            shareSummary(zone.get(), out);
        }
        if (now - nextDigestNanos >= 0) {
            nextDigestNanos = now + settings.digest().toNanos();
            sendDigests(zone.get(), out, now);
        }
    }

    private void shareSummary(Situation zone, Outbox out) {
        ZoneDigest digest = digest(zone, ImmutableList.of(), ImmutableList.of(), summary, true);
        ImmutableSet<HostId> bridges =
                ImmutableSet.copyOf(zones.bridges(zone.eligible).values());
        for (HostId bridge : bridges) {
            peers.find(bridge).ifPresent(peer -> out.send(peer.member, digest));
        }
    }

    private void sendDigests(Situation zone, Outbox out, long now) {
        ImmutableMap<AvailabilityZoneId, HostId> bridges = zones.bridges(zone.eligible);
        for (Zone other : zones.all()) {
            if (zone.self.host().equals(bridges.get(other.id))) {
                sendDigest(zone, other, out, now);
            }
        }
    }

    private void sendDigest(Situation zone, Zone other, Outbox out, long now) {
        boolean heard = other.isHeard(settings.zoneTimeout().toNanos(), now);
        if (!heard) {
            other.forgetTold();
        }
        ImmutableList<Member> members =
                other.membersToTell(zone.live, settings.refresh().toNanos(), now);
        ZoneDigest digest = digest(zone, members, zone.ended, other.summaryToTell(summary), false);
        for (Member counterpart : zones.counterparts(other, heard, ATTEMPTS_PER_SILENT_ZONE)) {
            out.send(counterpart, digest);
        }
    }

    /** Returns this zone's full digest for a host that asked for it. */
    ZoneDigest introduction(Situation zone, long now) {
        return digest(zone, zone.live, zone.ended, Optional.empty(), false);
    }

    /** Passes another zone's digest on to the other hosts of this zone. */
    void relay(ZoneDigest digest, Situation zone, Outbox out) {
        ImmutableSet<HostId> readers = summaryReaders(zone);
        ZoneDigest brief = digest.relay(false);
        ZoneDigest whole = digest.relay(true);
        for (Peer peer : peers.all()) {
            out.send(peer.member, readers.contains(peer.member.host()) ? whole : brief);
        }
    }

    private static ImmutableSet<HostId> summaryReaders(Situation zone) {
        ImmutableSet.Builder<HostId> readers = ImmutableSet.builder();
        Roles.holder(new Role.Dispatcher(), zone.eligible).ifPresent(readers::add);
        Roles.holder(new Role.Planner(), zone.eligible).ifPresent(readers::add);
        return readers.build();
    }

    /** Tells a host that is new in this zone all that is known of the zones that this host bridges to. */
    void welcome(Member joined, Situation zone, Outbox out, long now) {
        ImmutableMap<AvailabilityZoneId, HostId> bridges = zones.bridges(zone.eligible);
        for (Zone other : zones.all()) {
            boolean tells = zone.self.host().equals(bridges.get(other.id))
                    && other.isHeard(settings.zoneTimeout().toNanos(), now);
            if (tells) {
                other.full().ifPresent(digest -> out.send(joined, digest));
            }
        }
    }

    private ZoneDigest digest(
            Situation zone,
            ImmutableList<Member> members,
            ImmutableList<HostLife> ended,
            Optional<Summary> told,
            boolean relayed) {
        return new ZoneDigest(
                own,
                zone.self.life(),
                ++sequence,
                zone.lowestApplied,
                zone.highestKnown,
                zone.live.size(),
                members,
                ended,
                told,
                relayed);
    }
}
