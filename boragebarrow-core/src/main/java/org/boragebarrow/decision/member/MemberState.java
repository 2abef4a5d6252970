package org.boragebarrow.decision.member;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.member.MemberMessage.Heartbeat;
import org.boragebarrow.model.HostId;

/** The state of a {@link Membership}; mutable and shared by the classes that handle events. */
final class MemberState {
    private static final Duration ENDED_TOLD = Duration.ofMinutes(1);

    final MemberSettings settings;
    final EndedLives ended = new EndedLives();
    final Peers peers;
    final Zones zones;
    final Contacts contacts = new Contacts();
    final Digests digests;
    private Member self;
    private long applied;
    private long highestKnown;
    private long ownRevision;
    private long nextHeartbeatNanos;

    MemberState(Self self, MemberSettings settings) {
        this.settings = settings;
        this.self = new Member(self.life(), 0, self.zone(), self.endpoint(), false);
        this.peers = new Peers(settings, ended);
        this.zones = new Zones(self.zone());
        this.digests = new Digests(settings, self.zone(), zones, peers);
    }

    Member self() {
        return self;
    }

    /** Replaces the member that this host sends of itself. */
    void become(Member next) {
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
    void apply(long number, long now) {
        if (number > applied) {
            applied = number;
            ownRevision++;
            scheduleHeartbeats(now);
            learn(number, now);
        }
    }

    /** Records a change number that was received from another host or applied at this one. */
    void learn(long number, long now) {
        if (number > highestKnown) {
            highestKnown = number;
            ownRevision++;
            digests.hurry(now);
        }
    }

    void sendHeartbeats(Outbox out, long now) {
        nextHeartbeatNanos = now + settings.heartbeat().toNanos();
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

    Digests.Situation situation(long now) {
        MemberView view = view();
        ImmutableSet<HostId> eligible = view.eligible();
        long lowest = view.applied().values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(applied);
        return new Digests.Situation(
                self,
                view.live().values().asList(),
                eligible,
                ended.recent(self.zone(), ENDED_TOLD, now),
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
