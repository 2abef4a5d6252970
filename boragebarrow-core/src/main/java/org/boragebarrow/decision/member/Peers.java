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
    private final EndedLives ended;
    private long revision;

    Peers(MemberSettings settings, EndedLives ended) {
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

    boolean isHeard(Peer peer, long now) {
        return now - peer.heardNanos < settings.suspicionTimeout().toNanos();
    }

    /** Records a message of a member that has not ended; returns whether the incarnation is new. */
    boolean hear(Member member, long now) {
        checkState(!ended.contains(member.life()), "incarnation has ended: %s", member);
        Peer peer = peers.get(member.host());
        if (peer == null || isNewer(member.life(), peer)) {
            replace(peer, member, now);
            return true;
        }
        if (!member.life().equals(peer.member.life())) {
            return false;
        }
        boolean joined = peer.introduced;
        peer.heardNanos = now;
        reach(peer, member.refutations() >= peer.member.refutations() ? member : peer.member);
        return joined;
    }

    /** Records a third host's proof that a member is alive, if it is newer than this host's suspicion of it. */
    void vouch(Member member, long now) {
        if (ended.contains(member.life())) {
            return;
        }
        Peer peer = peers.get(member.host());
        if (peer == null || isNewer(member.life(), peer)) {
            replace(peer, member, now);
            peers.get(member.host()).heardNanos =
                    now - settings.suspicionTimeout().toNanos();
            return;
        }
        boolean proof = member.life().equals(peer.member.life())
                && member.refutations() > peer.member.refutations()
                && peer.askedNanos != Peer.NEVER;
        if (proof) {
            peer.vouchedNanos = now;
            reach(peer, member);
        }
    }

    private void reach(Peer peer, Member member) {
        if (peer.unreachable || !member.equals(peer.member)) {
            revision++;
        }
        peer.member = member;
        peer.reach();
    }

    /** Records the last change in effect at the peer. */
    void apply(Peer peer, long applied) {
        if (applied > peer.applied) {
            peer.applied = applied;
            revision++;
        }
    }

    /** Adds a member that is known only from another host, as suspected until a message of its own is received. */
    void introduce(Member member, long now) {
        if (peers.containsKey(member.host()) || ended.contains(member.life())) {
            return;
        }
        Peer peer = new Peer(member, now - settings.suspicionTimeout().toNanos());
        peer.introduced = true;
        peer.unreachable = true;
        peers.put(member.host(), peer);
    }

    private void replace(Peer old, Member member, long now) {
        if (old != null) {
            ended.add(old.member.life(), old.member.zone(), now);
        }
        revision++;
        peers.put(member.host(), new Peer(member, now));
    }

    private static boolean isNewer(HostIncarnation incarnation, Peer peer) {
        return incarnation.number().compareTo(peer.member.life().number()) > 0;
    }

    /** Removes the host if its incarnation has ended. */
    void dropEnded(HostId host) {
        Peer peer = peers.get(host);
        if (peer != null && ended.contains(peer.member.life())) {
            revision++;
            peers.remove(host);
        }
    }

    /** Dates the last contact with the hosts at the endpoint back so far that they are suspected. */
    void suspect(Endpoint endpoint, long now) {
        long newest = now - settings.suspicionTimeout().toNanos();
        for (Peer peer : peers.values()) {
            if (peer.member.endpoint().equals(endpoint)) {
                peer.heardNanos = Math.min(peer.heardNanos, newest);
                peer.vouchedNanos = Math.min(peer.vouchedNanos, newest);
            }
        }
    }

    /** Excludes a time in which this host did not run from the time without contact of every peer. */
    void shift(long nanos) {
        peers.values().forEach(peer -> peer.shift(nanos));
    }

    /**
     * Sends suspicions of unresponsive peers, ends those that no host proves to be alive, and returns the ended ones.
     *
     * @param anyZoneResponsive whether another zone is responsive, so that this host is not the one that is partitioned
     */
    ImmutableList<Member> judge(boolean anyZoneResponsive, Outbox out, long now) {
        ImmutableList.Builder<Member> removed = ImmutableList.builder();
        boolean connected = anyZoneResponsive || hearsMajority(now);
        for (Iterator<Peer> i = peers.values().iterator(); i.hasNext(); ) {
            Peer peer = i.next();
            if (peer.silence(now) < settings.suspicionTimeout().toNanos()) {
                continue;
            }
            if (isOver(peer, connected, now)) {
                revision++;
                i.remove();
                removed.add(peer.member);
                if (!peer.introduced) {
                    ended.add(peer.member.life(), peer.member.zone(), now);
                    out.send(peer.member, new Ended(peer.member.life()));
                }
                continue;
            }
            ask(peer, out, now);
        }
        return removed.build();
    }

    private boolean hearsMajority(long now) {
        long responsive = peers.values().stream().filter(peer -> isHeard(peer, now)).count();
        long confirmed = peers.values().stream().filter(peer -> !peer.introduced).count();
        return (responsive + 1) * 2 > confirmed + 1;
    }

    /** Returns whether the suspected peer is to be ended; may mark it as unreachable instead. */
    private boolean isOver(Peer peer, boolean connected, long now) {
        boolean timedOut = peer.silence(now) >= settings.deathTimeout().toNanos();
        if (timedOut && peer.introduced) {
            return true;
        }
        if (isAddressTaken(peer, now)) {
            return true;
        }
        if (!timedOut) {
            return false;
        }
        if (!connected) {
            revision++;
            peer.unreachable = true;
            peer.graceNanos = Peer.NEVER;
            return false;
        }
        if (!peer.unreachable) {
            return true;
        }
        if (peer.graceNanos == Peer.NEVER) {
            // After a partition heals, hosts reconnect one by one; none is ended before all had time to do so.
            peer.graceNanos = now + settings.deathTimeout().toNanos();
        }
        return now >= peer.graceNanos;
    }

    private boolean isAddressTaken(Peer unresponsive, long now) {
        Predicate<Peer> reuses = peer -> peer != unresponsive
                && peer.member.endpoint().equals(unresponsive.member.endpoint())
                && isHeard(peer, now);
        return !unresponsive.introduced && peers.values().stream().anyMatch(reuses);
    }

    private void ask(Peer peer, Outbox out, long now) {
        boolean sentRecently = peer.askedNanos != Peer.NEVER
                && now - peer.askedNanos < settings.heartbeat().toNanos();
        if (sentRecently) {
            return;
        }
        peer.askedNanos = now;
        Suspect suspicion = new Suspect(peer.member.life(), peer.member.refutations());
        for (Peer other : peers.values()) {
            if (other == peer || isHeard(other, now)) {
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
                .filter(peer -> peer.unreachable && !peer.introduced)
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
