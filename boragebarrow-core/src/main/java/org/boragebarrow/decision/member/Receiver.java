package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.member.MemberEffect.IncarnationReplaced;
import org.boragebarrow.decision.member.MemberMessage.Alive;
import org.boragebarrow.decision.member.MemberMessage.Ended;
import org.boragebarrow.decision.member.MemberMessage.Heartbeat;
import org.boragebarrow.decision.member.MemberMessage.Suspect;
import org.boragebarrow.decision.member.MemberMessage.ZoneDigest;
import org.boragebarrow.model.HostIncarnation;

/** Handles messages of other hosts. */
final class Receiver {
    private final MemberState state;

    Receiver(MemberState state) {
        this.state = state;
    }

    void receive(MemberEvent.MessageReceived received, Outbox out, long now) {
        HostIncarnation from = received.from();
        if (from.host().equals(state.self().host())) {
            return;
        }
        switch (received.message()) {
            case Heartbeat heartbeat -> onHeartbeat(heartbeat, out, now);
            case Suspect suspect -> onSuspect(from, suspect, out, now);
            case Alive alive -> onAlive(from, alive.member(), out, now);
            case Ended ended -> onEnded(from, ended.subject(), out, now);
            case ZoneDigest digest -> onDigest(from, digest, out, now);
        }
    }

    private void onHeartbeat(Heartbeat heartbeat, Outbox out, long now) {
        Member member = heartbeat.member();
        state.recordKnown(heartbeat.applied(), now);
        if (state.ended.contains(member.incarnation())) {
            out.send(member, new Ended(state.ended.latest(member.incarnation())));
            return;
        }
        if (!member.zone().equals(state.self().zone())) {
            PeerZone zone = state.zones.get(member.zone());
            zone.addFromHeartbeat(member);
            sendFullDigest(heartbeat, out, now);
            if (heartbeat.answerWanted()) {
                zone.fullDigest().ifPresent(digest -> out.send(member, digest.relay(false)));
            }
            return;
        }
        recordDirectContact(member, out, now);
        state.peers
                .find(member.host())
                .filter(peer -> peer.member.incarnation().equals(member.incarnation()))
                .ifPresent(peer -> state.peers.recordApplied(peer, heartbeat.applied()));
        sendFullDigest(heartbeat, out, now);
        if (heartbeat.answerWanted()) {
            state.digests.sendPeerZones(member, state.snapshot(now), out, now);
        }
    }

    private void sendFullDigest(Heartbeat heartbeat, Outbox out, long now) {
        if (heartbeat.answerWanted()) {
            out.send(heartbeat.member(), state.digests.fullDigest(state.snapshot(now), now));
        }
    }

    private void recordDirectContact(Member member, Outbox out, long now) {
        boolean joined = state.peers.recordDirectContact(member, now);
        if (joined) {
            out.send(member, state.heartbeat(false));
            out.send(member, state.digests.fullDigest(state.snapshot(now), now));
            state.digests.sendPeerZones(member, state.snapshot(now), out, now);
        }
    }

    private void onSuspect(HostIncarnation from, Suspect suspect, Outbox out, long now) {
        HostIncarnation subject = suspect.subject();
        if (subject.equals(state.self().incarnation())) {
            refute(suspect.refutations(), out);
            return;
        }
        Optional<Member> sender = state.peers.find(from.host()).map(peer -> peer.member);
        if (sender.isEmpty()) {
            return;
        }
        if (state.ended.contains(subject)) {
            out.send(sender.get(), new Ended(state.ended.latest(subject)));
            return;
        }
        Optional<Peer> responsivePeer = state.peers
                .find(subject.host())
                .filter(peer -> peer.member.incarnation().equals(subject))
                .filter(peer -> state.peers.isResponsive(peer, now));
        if (responsivePeer.isEmpty()) {
            return;
        }
        Member member = responsivePeer.get().member;
        // Only a refutation that is newer than the suspicion proves that the subject was alive after it.
        out.send(
                member.refutations() > suspect.refutations() ? sender.get() : member,
                member.refutations() > suspect.refutations() ? new Alive(member) : suspect);
    }

    private void refute(int suspected, Outbox out) {
        if (suspected >= state.self().refutations()) {
            state.updateSelf(state.self().withRefutations(suspected + 1));
        }
        for (Peer peer : state.peers.all()) {
            out.send(peer.member, new Alive(state.self()));
        }
    }

    private void onAlive(HostIncarnation from, Member member, Outbox out, long now) {
        boolean irrelevant = member.host().equals(state.self().host())
                || !member.zone().equals(state.self().zone());
        if (irrelevant) {
            return;
        }
        if (!from.equals(member.incarnation())) {
            state.peers.recordIndirectContact(member, now);
            return;
        }
        if (state.ended.contains(member.incarnation())) {
            out.send(member, new Ended(state.ended.latest(member.incarnation())));
            return;
        }
        recordDirectContact(member, out, now);
    }

    private void onEnded(HostIncarnation from, HostIncarnation subject, Outbox out, long now) {
        if (subject.host().equals(state.self().host())) {
            replaceIncarnation(subject, out, now);
            return;
        }
        Optional<Peer> peer = state.peers.find(subject.host());
        boolean selfReported = from.equals(subject);
        boolean known = peer.filter(
                        p -> subject.number().compareTo(p.member.incarnation().number()) >= 0)
                .isPresent();
        boolean contradicted = !selfReported && known && state.peers.isResponsive(peer.get(), now);
        if (contradicted) {
            return;
        }
        state.ended.add(subject, state.self().zone(), now);
        removeEnded(subject, now);
    }

    private void removeEnded(HostIncarnation subject, long now) {
        state.peers.find(subject.host()).ifPresent(peer -> state.contactPoints.retain(peer.member, now));
        state.peers.removeEnded(subject.host());
    }

    private void replaceIncarnation(HostIncarnation subject, Outbox out, long now) {
        if (subject.number().compareTo(state.self().incarnation().number()) < 0) {
            return;
        }
        HostIncarnation previous = state.self().incarnation();
        HostIncarnation next =
                HostIncarnation.of(state.self().host(), subject.number().next());
        state.updateSelf(state.self().withIncarnation(next));
        state.ended.add(subject, state.self().zone(), now);
        out.add(new IncarnationReplaced(previous, next));
        state.sendHeartbeats(out, now);
    }

    private void onDigest(HostIncarnation from, ZoneDigest digest, Outbox out, long now) {
        state.recordKnown(digest.highestKnown(), now);
        boolean sameZone = digest.zone().equals(state.self().zone());
        for (HostIncarnation incarnation : digest.ended()) {
            if (sameZone) {
                onEnded(from, incarnation, out, now);
            } else if (!incarnation.host().equals(state.self().host())
                    && state.peers.find(incarnation.host()).isEmpty()) {
                state.ended.add(incarnation, digest.zone(), now);
            }
        }
        if (sameZone) {
            digest.members().stream()
                    .filter(member -> !member.host().equals(state.self().host()))
                    .forEach(member -> state.peers.addUnconfirmed(member, now));
            digest.summary().ifPresent(state.digests::acceptSummary);
            return;
        }
        PeerZone zone = state.zones.get(digest.zone());
        zone.supersededBy(digest.members()).forEach(incarnation -> state.ended.add(incarnation, digest.zone(), now));
        boolean updated = zone.accept(digest, state.ended, now);
        if (updated) {
            notifyEnded(digest.members(), out);
        }
        if (updated && !digest.relayed()) {
            state.digests.relay(digest, state.snapshot(now), out);
        }
        // A full digest triggers no request, so that two hosts that both lack members do not loop.
        if (updated && digest.members().isEmpty() && zone.lacksMembers()) {
            Optional<Member> source = digest.relayed()
                    ? state.peers.find(from.host()).map(peer -> peer.member)
                    : zone.find(from.host()).or(zone::nextMember);
            source.ifPresent(member -> out.send(member, state.heartbeat(true)));
        }
    }

    /** Notifies members of another zone that were ended by a host that failed before it reported this in its zone. */
    private void notifyEnded(ImmutableList<Member> members, Outbox out) {
        for (Member member : members) {
            if (state.ended.contains(member.incarnation())) {
                out.send(member, new Ended(state.ended.latest(member.incarnation())));
            }
        }
    }
}
