package org.boragebarrow.decision.member;

import java.util.Collection;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import org.boragebarrow.decision.member.MemberMessage.Ended;
import org.boragebarrow.decision.member.MemberMessage.Suspect;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkState;

/** The other hosts of this zone, and the detection of their failures. */
final class Peers {
    private final Map<HostId, Peer> peers = new TreeMap<>();
    private final MemberSettings settings;
    private final EndedIncarnations ended;
    private long revision;

    Peers(MemberSettings settings, EndedIncarnations ended) {
        this.settings = settings;
        this.ended = ended;
    }

    /** Returns a number that increases with each change of the views. */
    long revision() {
        return revision;
    }

    Collection<Peer> all() {
        return peers.values();
    }

    Optional<Peer> find(HostId host) {
        return Optional.ofNullable(peers.get(host));
    }

    boolean isResponsive(Peer peer, long now) {
        return now - peer.lastDirectNanos < settings.suspicionTimeout().toNanos();
    }

    /** Records a message of a member that has not ended; returns whether the incarnation is new or was unconfirmed. */
    boolean recordDirectContact(Member member, long now) {
        checkState(!ended.contains(member.incarnation()), "incarnation has ended: %s", member);
        Peer peer = peers.get(member.host());
        if (peer == null || isNewer(member.incarnation(), peer)) {
            replace(peer, member, now);
            return true;
        }
        if (!member.incarnation().equals(peer.member.incarnation())) {
            return false;
        }
        boolean joined = peer.unconfirmed;
        peer.lastDirectNanos = now;
        markReachable(peer, member.refutations() >= peer.member.refutations() ? member : peer.member);
        return joined;
    }

    /** Records a third host's proof that a member is alive, if it is newer than this host's suspicion of it. */
    void recordIndirectContact(Member member, long now) {
        if (ended.contains(member.incarnation())) {
            return;
        }
        Peer peer = peers.get(member.host());
        if (peer == null || isNewer(member.incarnation(), peer)) {
            replace(peer, member, now);
            peers.get(member.host()).lastDirectNanos =
                    now - settings.suspicionTimeout().toNanos();
            return;
        }
        boolean proof = member.incarnation().equals(peer.member.incarnation())
                && member.refutations() > peer.member.refutations()
                && peer.lastSuspectNanos != Peer.NEVER;
        if (proof) {
            peer.lastIndirectNanos = now;
            markReachable(peer, member);
        }
    }

    private void markReachable(Peer peer, Member member) {
        if (peer.unreachable || !member.equals(peer.member)) {
            revision++;
        }
        peer.member = member;
        peer.markReachable();
    }

    /** Records the last change in effect at the peer. */
    void recordApplied(Peer peer, long applied) {
        if (applied > peer.applied) {
            peer.applied = applied;
            revision++;
        }
    }

    /** Adds a member that is known only from another host; it is suspected until a message from it is received. */
    void addUnconfirmed(Member member, long now) {
        if (peers.containsKey(member.host()) || ended.contains(member.incarnation())) {
            return;
        }
        Peer peer = new Peer(member, now - settings.suspicionTimeout().toNanos());
        peer.unconfirmed = true;
        peer.unreachable = true;
        peers.put(member.host(), peer);
    }

    private void replace(Peer old, Member member, long now) {
        if (old != null) {
            ended.add(old.member.incarnation(), old.member.zone(), now);
        }
        revision++;
        peers.put(member.host(), new Peer(member, now));
    }

    private static boolean isNewer(HostIncarnation incarnation, Peer peer) {
        return incarnation.number().compareTo(peer.member.incarnation().number()) > 0;
    }

    /** Removes the host if its incarnation has ended. */
    void removeEnded(HostId host) {
        Peer peer = peers.get(host);
        if (peer != null && ended.contains(peer.member.incarnation())) {
            revision++;
            peers.remove(host);
        }
    }

    /** Sets the last contact with the hosts at the endpoint back to the suspicion timeout, so they are suspected. */
    void suspect(Endpoint endpoint, long now) {
        long latestContact = now - settings.suspicionTimeout().toNanos();
        for (Peer peer : peers.values()) {
            if (peer.member.endpoint().equals(endpoint)) {
                peer.lastDirectNanos = Math.min(peer.lastDirectNanos, latestContact);
                peer.lastIndirectNanos = Math.min(peer.lastIndirectNanos, latestContact);
            }
        }
    }

    /** Excludes a time in which this host did not run from the time without contact with each peer. */
    void shiftTimestamps(long nanos) {
        peers.values().forEach(peer -> peer.shiftTimestamps(nanos));
    }

    /**
     * Sends suspicions of unresponsive peers, ends those that no host proves to be alive, and returns the ended ones.
     *
     * @param anyZoneResponsive whether another zone is responsive, so that this host is not the one that is partitioned
     */
    ImmutableList<Member> detectFailures(boolean anyZoneResponsive, Outbox out, long now) {
        ImmutableList.Builder<Member> removed = ImmutableList.builder();
        boolean connected = anyZoneResponsive || hasQuorum(now);
        for (Iterator<Peer> i = peers.values().iterator(); i.hasNext(); ) {
            Peer peer = i.next();
            if (peer.nanosSinceContact(now) < settings.suspicionTimeout().toNanos()) {
                continue;
            }
            if (shouldEnd(peer, connected, now)) {
                revision++;
                i.remove();
                removed.add(peer.member);
                if (!peer.unconfirmed) {
                    ended.add(peer.member.incarnation(), peer.member.zone(), now);
                    out.send(peer.member, new Ended(peer.member.incarnation()));
                }
                continue;
            }
            sendSuspect(peer, out, now);
        }
        return removed.build();
    }

    private boolean hasQuorum(long now) {
        long responsive =
                peers.values().stream().filter(peer -> isResponsive(peer, now)).count();
        long confirmed =
                peers.values().stream().filter(peer -> !peer.unconfirmed).count();
        return (responsive + 1) * 2 > confirmed + 1;
    }

    /** Returns whether the suspected peer is to be ended; may mark it as unreachable instead. */
    private boolean shouldEnd(Peer peer, boolean connected, long now) {
        boolean timedOut =
                peer.nanosSinceContact(now) >= settings.deathTimeout().toNanos();
        if (timedOut && peer.unconfirmed) {
            return true;
        }
        if (isAddressReused(peer, now)) {
            return true;
        }
        if (!timedOut) {
            return false;
        }
        if (!connected) {
            revision++;
            peer.unreachable = true;
            peer.graceEndNanos = Peer.NEVER;
            return false;
        }
        if (!peer.unreachable) {
            return true;
        }
        if (peer.graceEndNanos == Peer.NEVER) {
            // After a partition heals, hosts reconnect one by one; none is ended before all had time to do so.
            peer.graceEndNanos = now + settings.deathTimeout().toNanos();
        }
        return now >= peer.graceEndNanos;
    }

    private boolean isAddressReused(Peer unresponsive, long now) {
        Predicate<Peer> reuses = peer -> peer != unresponsive
                && peer.member.endpoint().equals(unresponsive.member.endpoint())
                && isResponsive(peer, now);
        return !unresponsive.unconfirmed && peers.values().stream().anyMatch(reuses);
    }

    private void sendSuspect(Peer peer, Outbox out, long now) {
        boolean sentRecently = peer.lastSuspectNanos != Peer.NEVER
                && now - peer.lastSuspectNanos < settings.heartbeatInterval().toNanos();
        if (sentRecently) {
            return;
        }
        peer.lastSuspectNanos = now;
        Suspect suspicion = new Suspect(peer.member.incarnation(), peer.member.refutations());
        for (Peer other : peers.values()) {
            if (other == peer || isResponsive(other, now)) {
                out.send(other.member, suspicion);
            }
        }
    }

    ImmutableSortedMap<HostId, Member> live(Member self) {
        ImmutableSortedMap.Builder<HostId, Member> live = ImmutableSortedMap.naturalOrder();
        live.put(self.host(), self);
        for (Peer peer : peers.values()) {
            if (!peer.unreachable) {
                live.put(peer.member.host(), peer.member);
            }
        }
        return live.buildOrThrow();
    }

    ImmutableSet<HostId> unreachable() {
        return peers.values().stream()
                .filter(peer -> peer.unreachable && !peer.unconfirmed)
                .map(peer -> peer.member.host())
                .collect(ImmutableSet.toImmutableSet());
    }

    ImmutableMap<HostId, Long> applied(HostId self, long ownApplied) {
        ImmutableMap.Builder<HostId, Long> applied = ImmutableMap.builder();
        applied.put(self, ownApplied);
        for (Peer peer : peers.values()) {
            if (!peer.unreachable) {
                applied.put(peer.member.host(), peer.applied);
            }
        }
        return applied.buildOrThrow();
    }
}
