package org.boragebarrow.decision.member;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.member.MemberEffect.LifeReplaced;
import org.boragebarrow.decision.member.MemberEffect.MembersChanged;
import org.boragebarrow.decision.member.MemberEffect.ZonesChanged;
import org.boragebarrow.decision.member.MemberMessage.Alive;
import org.boragebarrow.decision.member.MemberMessage.Ended;
import org.boragebarrow.decision.member.MemberMessage.Heartbeat;
import org.boragebarrow.decision.member.MemberMessage.Suspect;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One host's part in finding out who is alive and what other zones say.
 *
 * <p>The state starts empty but for this host; addresses come with {@link MemberEvent.SeedsListed} and from peers.
 */
public final class Membership implements Machine<MemberEvent, MemberEffect> {
    private static final Duration ENDED_TOLD = Duration.ofMinutes(1);

    private final MemberSettings settings;
    private final EndedLives ended = new EndedLives();
    private final Peers peers;
    private final Zones zones;
    private final Contacts contacts = new Contacts();
    private final Digests digests;
    private final SplittableRandom random;
    private Member self;
    private long applied;
    private long highestKnown;
    private boolean started;
    private boolean stopped;
    private long lastNanos;
    private long nextHeartbeatNanos;
    private long nextProbeNanos;
    private Optional<MemberView> lastMembers = Optional.empty();
    private Optional<ZonesView> lastZones = Optional.empty();

    /** Creates the membership of a host that knows nobody yet; the seed spreads periodic work over time. */
    public Membership(Self self, MemberSettings settings, long seed) {
        checkNotNull(self);
        this.settings = checkNotNull(settings);
        this.self = new Member(self.life(), 0, self.zone(), self.endpoint(), false);
        this.peers = new Peers(settings, ended);
        this.zones = new Zones(self.zone());
        this.digests = new Digests(settings, self.zone(), zones, peers);
        this.random = new SplittableRandom(seed);
    }

    @Override
    public ImmutableList<MemberEffect> apply(MemberEvent event, long nowNanos) {
        checkNotNull(event);
        if (stopped) {
            return ImmutableList.of();
        }
        keepTime(nowNanos);
        Outbox out = new Outbox();
        switch (event) {
            case MemberEvent.MessageReceived received -> receive(received, out, nowNanos);
            case MemberEvent.LinkUp up -> greet(up.endpoint(), out);
            case MemberEvent.LinkDown down -> peers.suspect(down.endpoint(), nowNanos);
            case MemberEvent.SeedsListed listed -> listSeeds(listed, nowNanos);
            case MemberEvent.SummaryChanged changed -> digests.summarise(self, changed.payload());
            case MemberEvent.AppliedChange change -> apply(change.number(), nowNanos);
            case MemberEvent.Draining draining -> drain(nowNanos);
            case MemberEvent.Leaving leaving -> leave(out);
            case MemberEvent.Ticked ticked -> tick(out, nowNanos);
        }
        if (!stopped) {
            report(out, nowNanos);
        }
        return out.effects();
    }

    private void keepTime(long now) {
        if (!started) {
            started = true;
            lastNanos = now;
            nextHeartbeatNanos = now + random.nextLong(settings.heartbeat().toNanos());
            nextProbeNanos = now;
            digests.start(now, random);
        }
        long gap = now - lastNanos;
        lastNanos = now;
        // A host that was paused heard nobody; that is no evidence against anybody.
        if (gap > settings.heartbeat().multipliedBy(2).toNanos()) {
            peers.shift(gap);
            zones.shift(gap);
        }
    }

    private void receive(MemberEvent.MessageReceived received, Outbox out, long now) {
        HostLife from = received.from();
        if (from.host().equals(self.host())) {
            return;
        }
        switch (received.message()) {
            case Heartbeat heartbeat -> onHeartbeat(heartbeat, out, now);
            case Suspect suspect -> onSuspect(from, suspect, out, now);
            case Alive alive -> onAlive(from, alive.member(), out, now);
            case Ended over -> onEnded(from, over.subject(), out, now);
            case ZoneDigest digest -> onDigest(from, digest, out, now);
        }
    }

    private void onHeartbeat(Heartbeat heartbeat, Outbox out, long now) {
        Member member = heartbeat.member();
        learn(heartbeat.applied(), now);
        if (ended.contains(member.life())) {
            out.send(member, new Ended(ended.latest(member.life())));
            return;
        }
        if (!member.zone().equals(self.zone())) {
            Zone zone = zones.get(member.zone());
            zone.meet(member);
            answer(heartbeat, out, now);
            if (heartbeat.answerWanted()) {
                zone.full().ifPresent(known -> out.send(member, known.relay(false)));
            }
            return;
        }
        hear(member, out, now);
        peers.find(member.host())
                .filter(peer -> peer.member.life().equals(member.life()))
                .ifPresent(peer -> peer.applied = Math.max(peer.applied, heartbeat.applied()));
        answer(heartbeat, out, now);
    }

    private void answer(Heartbeat heartbeat, Outbox out, long now) {
        if (heartbeat.answerWanted()) {
            out.send(heartbeat.member(), digests.introduction(situation(now), now));
        }
    }

    private void hear(Member member, Outbox out, long now) {
        boolean joined = peers.hear(member, now);
        if (joined) {
            out.send(member, heartbeat(false));
            digests.welcome(member, situation(now), out, now);
        }
    }

    private void onSuspect(HostLife from, Suspect suspect, Outbox out, long now) {
        HostLife subject = suspect.subject();
        if (subject.equals(self.life())) {
            refute(suspect.refutations(), out);
            return;
        }
        Optional<Member> asker = peers.find(from.host()).map(peer -> peer.member);
        if (asker.isEmpty()) {
            return;
        }
        if (ended.contains(subject)) {
            out.send(asker.get(), new Ended(ended.latest(subject)));
            return;
        }
        Optional<Peer> witness = peers.find(subject.host())
                .filter(peer -> peer.member.life().equals(subject))
                .filter(peer -> peers.isHeard(peer, now));
        if (witness.isEmpty()) {
            return;
        }
        Member member = witness.get().member;
        // Only a refutation that is newer than the question proves that the subject was alive after it.
        out.send(
                member.refutations() > suspect.refutations() ? asker.get() : member,
                member.refutations() > suspect.refutations() ? new Alive(member) : suspect);
    }

    private void refute(int suspected, Outbox out) {
        if (suspected >= self.refutations()) {
            self = self.withRefutations(suspected + 1);
        }
        for (Peer peer : peers.all()) {
            out.send(peer.member, new Alive(self));
        }
    }

    private void onAlive(HostLife from, Member member, Outbox out, long now) {
        boolean foreign = member.host().equals(self.host()) || !member.zone().equals(self.zone());
        if (foreign) {
            return;
        }
        if (!from.equals(member.life())) {
            peers.vouch(member, now);
            return;
        }
        if (ended.contains(member.life())) {
            out.send(member, new Ended(ended.latest(member.life())));
            return;
        }
        hear(member, out, now);
    }

    private void onEnded(HostLife from, HostLife subject, Outbox out, long now) {
        if (subject.host().equals(self.host())) {
            replaceLife(subject, out, now);
            return;
        }
        Optional<Peer> peer = peers.find(subject.host());
        boolean ownWord = from.equals(subject);
        boolean known = peer.filter(
                        p -> subject.incarnation().compareTo(p.member.life().incarnation()) >= 0)
                .isPresent();
        boolean contradicted = !ownWord && known && peers.isHeard(peer.get(), now);
        if (contradicted) {
            return;
        }
        ended.add(subject, self.zone(), now);
        dropEnded(subject, now);
    }

    private void dropEnded(HostLife subject, long now) {
        peers.find(subject.host()).ifPresent(peer -> contacts.remember(peer.member, now));
        peers.dropEnded(subject.host());
    }

    private void replaceLife(HostLife subject, Outbox out, long now) {
        if (subject.incarnation().compareTo(self.life().incarnation()) < 0) {
            return;
        }
        HostLife before = self.life();
        HostLife next = HostLife.of(self.host(), subject.incarnation().next());
        self = self.withLife(next);
        ended.add(subject, self.zone(), now);
        nextHeartbeatNanos = now;
        out.add(new LifeReplaced(before, next));
        sendHeartbeats(out, now);
    }

    private void onDigest(HostLife from, ZoneDigest digest, Outbox out, long now) {
        learn(digest.highestKnown(), now);
        boolean own = digest.zone().equals(self.zone());
        for (HostLife life : digest.ended()) {
            if (own) {
                onEnded(from, life, out, now);
            } else if (!life.host().equals(self.host())
                    && peers.find(life.host()).isEmpty()) {
                ended.add(life, digest.zone(), now);
            }
        }
        if (own) {
            digest.members().stream()
                    .filter(member -> !member.host().equals(self.host()))
                    .forEach(member -> peers.introduce(member, now));
            digest.summary().ifPresent(digests::adopt);
            return;
        }
        Zone zone = zones.get(digest.zone());
        zone.supersededBy(digest.members()).forEach(life -> ended.add(life, digest.zone(), now));
        boolean news = zone.accept(digest, ended, now);
        if (news) {
            tellEnded(digest.members(), out);
        }
        if (news && !digest.relayed()) {
            digests.relay(digest, situation(now), out);
        }
    }

    /** Tells members of another zone that their life was ended by a host that did not live to tell its own zone. */
    private void tellEnded(ImmutableList<Member> members, Outbox out) {
        for (Member member : members) {
            if (ended.contains(member.life())) {
                out.send(member, new Ended(ended.latest(member.life())));
            }
        }
    }

    private void learn(long number, long now) {
        if (number > highestKnown) {
            highestKnown = number;
            digests.hurry(now);
        }
    }

    private void apply(long number, long now) {
        if (number > applied) {
            applied = number;
            nextHeartbeatNanos = now;
            learn(number, now);
        }
    }

    private void listSeeds(MemberEvent.SeedsListed listed, long now) {
        contacts.list(listed, now);
        listed.seeds().stream()
                .flatMap(seed -> seed.zone().stream())
                .filter(zone -> !zone.equals(self.zone()))
                .forEach(zones::get);
    }

    private void greet(Endpoint endpoint, Outbox out) {
        for (Peer peer : peers.all()) {
            if (peer.member.endpoint().equals(endpoint)) {
                out.send(peer.member, heartbeat(false));
            }
        }
    }

    private void drain(long now) {
        if (!self.leaving()) {
            self = self.withLeaving();
            nextHeartbeatNanos = now;
        }
    }

    private void leave(Outbox out) {
        stopped = true;
        for (Peer peer : peers.all()) {
            out.send(peer.member, new Ended(self.life()));
        }
    }

    private void tick(Outbox out, long now) {
        ended.expire(settings.endedRetention(), now);
        judge(out, now);
        if (now - nextHeartbeatNanos >= 0) {
            sendHeartbeats(out, now);
        }
        if (now - nextProbeNanos >= 0) {
            nextProbeNanos = now + settings.probe().toNanos();
            probe(out, now);
        }
        digests.tick(situation(now), out, now);
    }

    private void judge(Outbox out, long now) {
        // Shorter than the death timeout, so that a host that has just been cut off no longer counts older digests.
        long recent = settings.suspicionTimeout().plus(settings.deathTimeout()).toNanos() / 2;
        for (Member over : peers.judge(zones.isAnyHeard(recent, now), out, now)) {
            contacts.remember(over, now);
        }
    }

    private void sendHeartbeats(Outbox out, long now) {
        nextHeartbeatNanos = now + settings.heartbeat().toNanos();
        Heartbeat heartbeat = heartbeat(false);
        for (Peer peer : peers.all()) {
            out.send(peer.member, heartbeat);
        }
    }

    private void probe(Outbox out, long now) {
        Heartbeat probe = heartbeat(true);
        ImmutableList<Endpoint> due = contacts.due(
                endpoint -> isKnown(endpoint, now),
                zone -> !zone.equals(self.zone()) && zones.get(zone).isHeard(zoneTimeout(), now),
                settings.probe().toNanos(),
                now);
        due.forEach(endpoint -> out.send(endpoint, probe));
    }

    private boolean isKnown(Endpoint endpoint, long now) {
        return endpoint.equals(self.endpoint())
                || peers.all().stream()
                        .anyMatch(peer -> peer.member.endpoint().equals(endpoint) && peers.isHeard(peer, now));
    }

    private Heartbeat heartbeat(boolean answerWanted) {
        return new Heartbeat(self, applied, answerWanted);
    }

    private long zoneTimeout() {
        return settings.zoneTimeout().toNanos();
    }

    private MemberView view() {
        return new MemberView(peers.live(self), peers.unreachable(), ended.view(), peers.applied(self.host(), applied));
    }

    private Digests.Situation situation(long now) {
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

    private void report(Outbox out, long now) {
        MemberView members = view();
        assert members.live().values().stream().noneMatch(member -> members.isEnded(member.life())) : members;
        if (!lastMembers.equals(Optional.of(members))) {
            lastMembers = Optional.of(members);
            out.add(new MembersChanged(members));
        }
        ZonesView known = zones.view(highestKnown, zoneTimeout(), now);
        if (!lastZones.equals(Optional.of(known))) {
            lastZones = Optional.of(known);
            out.add(new ZonesChanged(known));
        }
    }
}
