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
import org.boragebarrow.model.HostIncarnation;

/** Sends this zone's digest to other zones, and relays their digests inside this zone. */
final class DigestExchange {
    private static final int ATTEMPTS_PER_UNRESPONSIVE_ZONE = 2;

    private final MemberSettings settings;
    private final AvailabilityZoneId ownZone;
    private final PeerZones zones;
    private final Peers peers;
    private Optional<Summary> summary = Optional.empty();
    private boolean summaryPending;
    private long summarySequence;
    private long sequence;
    private long nextDigestNanos;
    private long nextSummaryNanos;

    DigestExchange(MemberSettings settings, AvailabilityZoneId ownZone, PeerZones zones, Peers peers) {
        this.settings = settings;
        this.ownZone = ownZone;
        this.zones = zones;
        this.peers = peers;
    }

    /**
     * The state of this zone at one moment, from which digests are made.
     *
     * @param eligible the hosts that may hold roles
     * @param lowestApplied the last change that is in effect on all live hosts of the zone
     * @param highestKnown the highest change number that this host has received
     */
    record ZoneSnapshot(
            Member self,
            ImmutableList<Member> live,
            ImmutableSet<HostId> eligible,
            ImmutableList<HostIncarnation> ended,
            long lowestApplied,
            long highestKnown) {}

    void start(long now, SplittableRandom random) {
        nextDigestNanos = now + random.nextLong(settings.digestInterval().toNanos());
        nextSummaryNanos = now;
    }

    /** Sends the next digests on the next tick, as a higher change number is known. */
    void expedite(long now) {
        nextDigestNanos = now;
    }

    /** Publishes a summary that this host made. */
    void publishSummary(Member self, Payload payload) {
        summary = Optional.of(new Summary(self.incarnation(), ++summarySequence, payload));
        summaryPending = true;
    }

    /** Accepts a summary that another host of this zone made, if it replaces the current one. */
    void acceptSummary(Summary received) {
        if (summary.isEmpty() || received.replaces(summary.get())) {
            summary = Optional.of(received);
            summaryPending = false;
        }
    }

    void tick(Supplier<ZoneSnapshot> snapshot, Outbox out, long now) {
        boolean summaryDue = summaryPending && now - nextSummaryNanos >= 0;
        if (summaryDue) {
            nextSummaryNanos = now + settings.summaryInterval().toNanos();
            summaryPending = false;
            sendSummary(snapshot.get(), out);
        }
        if (now - nextDigestNanos >= 0) {
            nextDigestNanos = now + settings.digestInterval().toNanos();
            sendDigests(snapshot.get(), out, now);
        }
    }

    private void sendSummary(ZoneSnapshot snapshot, Outbox out) {
        ZoneDigest digest = digest(snapshot, ImmutableList.of(), ImmutableList.of(), summary, true);
        ImmutableSet<HostId> bridges =
                ImmutableSet.copyOf(zones.bridges(snapshot.eligible).values());
        for (HostId bridge : bridges) {
            peers.find(bridge).ifPresent(peer -> out.send(peer.member, digest));
        }
    }

    private void sendDigests(ZoneSnapshot snapshot, Outbox out, long now) {
        ImmutableMap<AvailabilityZoneId, HostId> bridges = zones.bridges(snapshot.eligible);
        for (PeerZone peerZone : zones.all()) {
            if (snapshot.self.host().equals(bridges.get(peerZone.id))) {
                sendDigest(snapshot, peerZone, out, now);
            }
        }
    }

    private void sendDigest(ZoneSnapshot snapshot, PeerZone peerZone, Outbox out, long now) {
        boolean responsive = peerZone.isResponsive(settings.zoneTimeout().toNanos(), now);
        if (!responsive) {
            peerZone.resetSent();
        }
        ImmutableList<Member> members =
                peerZone.membersToSend(snapshot.live, settings.refreshInterval().toNanos(), now);
        ZoneDigest digest = digest(snapshot, members, snapshot.ended, peerZone.summaryToSend(summary), false);
        for (Member recipient : zones.digestRecipients(peerZone, responsive, ATTEMPTS_PER_UNRESPONSIVE_ZONE)) {
            out.send(recipient, digest);
        }
    }

    /** Returns this zone's full digest for a host that requested it. */
    ZoneDigest fullDigest(ZoneSnapshot snapshot, long now) {
        return digest(snapshot, snapshot.live, snapshot.ended, Optional.empty(), false);
    }

    /**
     * Relays another zone's digest to the other hosts of this zone.
     *
     * <p>Only the hosts that read summaries receive the digest's summary.
     */
    void relay(ZoneDigest digest, ZoneSnapshot snapshot, Outbox out) {
        ImmutableSet<HostId> readers = summaryReaders(snapshot);
        ZoneDigest withoutSummary = digest.relay(false);
        ZoneDigest withSummary = digest.relay(true);
        for (Peer peer : peers.all()) {
            out.send(peer.member, readers.contains(peer.member.host()) ? withSummary : withoutSummary);
        }
    }

    private static ImmutableSet<HostId> summaryReaders(ZoneSnapshot snapshot) {
        ImmutableSet.Builder<HostId> readers = ImmutableSet.builder();
        Roles.holder(new Role.Dispatcher(), snapshot.eligible).ifPresent(readers::add);
        Roles.holder(new Role.Planner(), snapshot.eligible).ifPresent(readers::add);
        return readers.build();
    }

    /** Sends a host that joined this zone the full digests of the zones that this host bridges to. */
    void sendPeerZones(Member joined, ZoneSnapshot snapshot, Outbox out, long now) {
        ImmutableMap<AvailabilityZoneId, HostId> bridges = zones.bridges(snapshot.eligible);
        for (PeerZone peerZone : zones.all()) {
            boolean sends = snapshot.self.host().equals(bridges.get(peerZone.id))
                    && peerZone.isResponsive(settings.zoneTimeout().toNanos(), now);
            if (sends) {
                peerZone.fullDigest().ifPresent(digest -> out.send(joined, digest));
            }
        }
    }

    private ZoneDigest digest(
            ZoneSnapshot snapshot,
            ImmutableList<Member> members,
            ImmutableList<HostIncarnation> ended,
            Optional<Summary> sentSummary,
            boolean relayed) {
        return new ZoneDigest(
                ownZone,
                snapshot.self.incarnation(),
                ++sequence,
                snapshot.lowestApplied,
                snapshot.highestKnown,
                snapshot.live.size(),
                members,
                ended,
                sentSummary,
                relayed);
    }
}
