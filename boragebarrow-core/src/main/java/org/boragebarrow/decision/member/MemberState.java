package org.boragebarrow.decision.member;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.member.MemberMessage.Heartbeat;
import org.boragebarrow.model.HostId;

/** The state of a {@link Membership}; mutable and shared by the classes that handle events. */
final class MemberState {
    private static final Duration ENDED_DIGEST_WINDOW = Duration.ofMinutes(1);

    final MemberSettings settings;
    final EndedIncarnations ended = new EndedIncarnations();
    final Peers peers;
    final PeerZones zones;
    final ContactPoints contactPoints = new ContactPoints();
    final DigestExchange digests;
    private Member self;
    private long applied;
    private long highestKnown;
    private long ownRevision;
    private long nextHeartbeatNanos;

    MemberState(MemberIdentity self, MemberSettings settings) {
        this.settings = settings;
        this.self = new Member(self.incarnation(), 0, self.zone(), self.endpoint(), false);
        this.peers = new Peers(settings, ended);
        this.zones = new PeerZones(self.zone());
        this.digests = new DigestExchange(settings, self.zone(), zones, peers);
    }

    Member self() {
        return self;
    }

    /** Replaces the description of this host that it sends to other hosts. */
    void updateSelf(Member next) {
        self = next;
        ownRevision++;
    }

    /** Schedules the next heartbeats for the given time. */
    void scheduleHeartbeats(long time) {
        nextHeartbeatNanos = time;
    }

    boolean isHeartbeatDue(long now) {
        return now - nextHeartbeatNanos >= 0;
    }

    /** Records that a change is in effect at this host. */
    void recordApplied(long number, long now) {
        if (number > applied) {
            applied = number;
            ownRevision++;
            scheduleHeartbeats(now);
            recordKnown(number, now);
        }
    }

    /** Records a change number that was received from another host or applied at this one. */
    void recordKnown(long number, long now) {
        if (number > highestKnown) {
            highestKnown = number;
            ownRevision++;
            digests.expedite(now);
        }
    }

    void sendHeartbeats(Outbox out, long now) {
        nextHeartbeatNanos = now + settings.heartbeatInterval().toNanos();
        Heartbeat heartbeat = heartbeat(false);
        for (Peer peer : peers.all()) {
            out.send(peer.member, heartbeat);
        }
    }

    Heartbeat heartbeat(boolean answerWanted) {
        return new Heartbeat(self, applied, answerWanted);
    }

    long zoneTimeout() {
        return settings.zoneTimeout().toNanos();
    }

    MemberView view() {
        return new MemberView(peers.live(self), peers.unreachable(), ended.view(), peers.applied(self.host(), applied));
    }

    DigestExchange.ZoneSnapshot snapshot(long now) {
        MemberView view = view();
        ImmutableSet<HostId> eligible = view.eligible();
        long lowest = view.applied().values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(applied);
        return new DigestExchange.ZoneSnapshot(
                self,
                view.live().values().asList(),
                eligible,
                ended.recent(self.zone(), ENDED_DIGEST_WINDOW, now),
                lowest,
                highestKnown);
    }

    long revision() {
        return ownRevision + peers.revision() + ended.revision() + zones.revision();
    }

    ZonesView zonesView(long now) {
        return zones.view(highestKnown, zoneTimeout(), now);
    }
}
