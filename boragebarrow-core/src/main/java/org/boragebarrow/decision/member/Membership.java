package org.boragebarrow.decision.member;

import java.util.Optional;
import java.util.SplittableRandom;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.member.MemberEffect.MembersChanged;
import org.boragebarrow.decision.member.MemberEffect.ZonesChanged;
import org.boragebarrow.decision.member.MemberMessage.Ended;
import org.boragebarrow.decision.member.MemberMessage.Heartbeat;
import org.boragebarrow.model.Endpoint;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Detects failures of the hosts of this zone, and exchanges digests with other zones.
 *
 * <p>The initial state contains only this host; addresses come with {@link MemberEvent.SeedsListed} and from peers.
 */
public final class Membership implements Machine<MemberEvent, MemberEffect> {
    private final MemberSettings settings;
    private final MemberState state;
    private final Receiver receiver;
    private final SplittableRandom random;
    private boolean started;
    private boolean stopped;
    private long reportedRevision = -1;
    private long lastNanos;
    private long nextProbeNanos;
    private Optional<MemberView> lastMembers = Optional.empty();
    private Optional<ZonesView> lastZones = Optional.empty();

    /** Creates a membership without any peers; the random seed spreads the periodic work of hosts over time. */
    public Membership(MemberIdentity identity, MemberSettings settings, long seed) {
        checkNotNull(identity);
        this.settings = checkNotNull(settings);
        this.state = new MemberState(identity, settings);
        this.receiver = new Receiver(state);
        this.random = new SplittableRandom(seed);
    }

    @Override
    public ImmutableList<MemberEffect> apply(MemberEvent event, long nowNanos) {
        checkNotNull(event);
        if (stopped) {
            return ImmutableList.of();
        }
        advanceClock(nowNanos);
        Outbox out = new Outbox();
        switch (event) {
            case MemberEvent.MessageReceived received -> receiver.receive(received, out, nowNanos);
            case MemberEvent.LinkUp up -> sendHeartbeat(up.endpoint(), out);
            case MemberEvent.LinkDown down -> state.peers.suspect(down.endpoint(), nowNanos);
            case MemberEvent.SeedsListed listed -> updateSeeds(listed, nowNanos);
            case MemberEvent.SummaryChanged changed -> state.digests.publishSummary(state.self(), changed.payload());
            case MemberEvent.AppliedChange change -> state.recordApplied(change.number(), nowNanos);
            case MemberEvent.Draining draining -> drain(nowNanos);
            case MemberEvent.Leaving leaving -> leave(out);
            case MemberEvent.Ticked ticked -> tick(out, nowNanos);
        }
        // Most messages change nothing, and building the views for each would be the largest part of the work.
        boolean changed = event instanceof MemberEvent.Ticked || state.revision() != reportedRevision;
        if (!stopped && changed) {
            reportChanges(out, nowNanos);
        }
        return out.effects();
    }

    private void advanceClock(long now) {
        if (!started) {
            started = true;
            lastNanos = now;
            state.scheduleHeartbeats(
                    now + random.nextLong(settings.heartbeatInterval().toNanos()));
            nextProbeNanos = now;
            state.digests.start(now, random);
        }
        long gap = now - lastNanos;
        lastNanos = now;
        // A host that was paused received no messages, which is no evidence that the senders failed.
        if (gap > settings.heartbeatInterval().multipliedBy(2).toNanos()) {
            state.peers.shiftTimestamps(gap);
            state.zones.shiftTimestamps(gap);
        }
    }

    private void updateSeeds(MemberEvent.SeedsListed listed, long now) {
        state.contactPoints.updateSeeds(listed, now);
        listed.seeds().stream()
                .flatMap(seed -> seed.zone().stream())
                .filter(zone -> !zone.equals(state.self().zone()))
                .forEach(state.zones::get);
    }

    private void sendHeartbeat(Endpoint endpoint, Outbox out) {
        for (Peer peer : state.peers.all()) {
            if (peer.member.endpoint().equals(endpoint)) {
                out.send(peer.member, state.heartbeat(false));
            }
        }
    }

    private void drain(long now) {
        if (!state.self().leaving()) {
            state.updateSelf(state.self().withLeaving());
            state.scheduleHeartbeats(now);
        }
    }

    private void leave(Outbox out) {
        stopped = true;
        for (Peer peer : state.peers.all()) {
            out.send(peer.member, new Ended(state.self().incarnation()));
        }
    }

    private void tick(Outbox out, long now) {
        state.ended.expire(settings.endedRetention(), now);
        detectFailures(out, now);
        if (state.isHeartbeatDue(now)) {
            state.sendHeartbeats(out, now);
        }
        if (now - nextProbeNanos >= 0) {
            nextProbeNanos = now + settings.probeInterval().toNanos();
            probe(out, now);
        }
        state.digests.tick(() -> state.snapshot(now), out, now);
    }

    private void detectFailures(Outbox out, long now) {
        // Shorter than the death timeout, so that a host that has just been partitioned does not take digests from
        // before the partition as evidence that it is connected.
        long recent = settings.suspicionTimeout().plus(settings.deathTimeout()).toNanos() / 2;
        for (Member ended : state.peers.detectFailures(state.zones.isAnyResponsive(recent, now), out, now)) {
            state.contactPoints.retain(ended, now);
        }
    }

    private void probe(Outbox out, long now) {
        Heartbeat probe = state.heartbeat(true);
        ImmutableList<Endpoint> due = state.contactPoints.selectDue(
                endpoint -> isResponsive(endpoint, now),
                zone -> !zone.equals(state.self().zone())
                        && state.zones.get(zone).isResponsive(state.zoneTimeout(), now),
                settings.probeInterval().toNanos(),
                now);
        due.forEach(endpoint -> out.send(endpoint, probe));
    }

    private boolean isResponsive(Endpoint endpoint, long now) {
        return endpoint.equals(state.self().endpoint())
                || state.peers.all().stream()
                        .anyMatch(
                                peer -> peer.member.endpoint().equals(endpoint) && state.peers.isResponsive(peer, now));
    }

    private void reportChanges(Outbox out, long now) {
        reportedRevision = state.revision();
        MemberView members = state.view();
        assert members.live().values().stream().noneMatch(member -> members.isEnded(member.incarnation())) : members;
        if (!lastMembers.equals(Optional.of(members))) {
            lastMembers = Optional.of(members);
            out.add(new MembersChanged(members));
        }
        ZonesView zones = state.zonesView(now);
        if (!lastZones.equals(Optional.of(zones))) {
            lastZones = Optional.of(zones);
            out.add(new ZonesChanged(zones));
        }
    }
}
