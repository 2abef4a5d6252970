package org.boragebarrow.node;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.boragebarrow.decision.change.ChangeBatch;
import org.boragebarrow.decision.change.ChangeFollowerEvent;
import org.boragebarrow.decision.change.ChangeState;
import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.decision.dispatch.ZoneSummary;
import org.boragebarrow.decision.member.Member;
import org.boragebarrow.decision.member.MemberEvent;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.decision.member.ZonesView;
import org.boragebarrow.decision.observe.ObserveEvent;
import org.boragebarrow.decision.placement.Role;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.node.change.ChangeDuty;
import org.boragebarrow.node.claim.ClaimDuty;
import org.boragebarrow.node.dispatch.DispatchRouter;
import org.boragebarrow.node.front.Front;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.MemberDuty;
import org.boragebarrow.node.target.ObserveDuty;
import org.boragebarrow.peer.link.PeerSender;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.ChangeMessages;
import org.boragebarrow.peer.wire.SummaryMessages;

import static com.google.common.base.Preconditions.checkNotNull;

/** Routes the events of the membership and change duties to the other duties that depend on them. */
final class DutyEventRouter implements MemberDuty.Listener, ChangeDuty.Listener {
    private static final EventLog LOG = EventLog.of(DutyEventRouter.class);
    private static final int FETCH_LIMIT = 256;

    private final PeerSender peers;

    private volatile Optional<Duties> duties = Optional.empty();
    private MemberView lastMembers;
    private Optional<HostId> lastDispatcher = Optional.empty();
    private ZonesView lastZones = new ZonesView(ImmutableMap.of(), 0);

    /** The duties that receive each other's events. */
    record Duties(
            MemberDuty members,
            ChangeDuty changes,
            ClaimDuty claims,
            DispatchRouter dispatchRouter,
            ObserveDuty observeDuty,
            Front front,
            ChangeMessages changeMessages) {}

    DutyEventRouter(PeerSender peers) {
        this.peers = checkNotNull(peers);
    }

    /** Sets the duties that receive events. Events before this call are dropped; later ones repeat their content. */
    void connect(Duties connected) {
        duties = Optional.of(connected);
    }

    @Override
    public void onMembers(MemberView view) {
        duties.ifPresent(connected -> {
            logMembers(view);
            reportLostHosts(connected, view);
            connected.observeDuty().offer(new ObserveEvent.MembersChanged(view));
            view.applied()
                    .forEach((host, applied) ->
                            connected.changes().offer(new ChangeFollowerEvent.PeerReported(host, applied, true)));
            updateHeadPolling(connected);
            logDispatcher(connected.members());
            lastMembers = view;
            publishLiveHosts(connected);
        });
    }

    private void logMembers(MemberView view) {
        if (lastMembers == null
                || !lastMembers.live().keySet().equals(view.live().keySet())) {
            LOG.write(LogEvent.MEMBERS_CHANGED, view.live().keySet());
        }
    }

    /** Reports hosts that were removed or replaced by a later incarnation, so that what they held is released. */
    private void reportLostHosts(Duties connected, MemberView view) {
        if (lastMembers == null) {
            return;
        }
        Set<HostId> lostHosts =
                Sets.difference(lastMembers.live().keySet(), view.live().keySet());
        lostHosts.forEach(host -> connected.changes().offer(new ChangeFollowerEvent.PeerLost(host)));
        for (Member before : lastMembers.live().values()) {
            HostIncarnation incarnation = before.incarnation();
            if (view.isEnded(incarnation)) {
                connected.dispatchRouter().duty().offer(new DispatchEvent.FrontLost(incarnation));
            }
        }
    }

    private void logDispatcher(MemberDuty members) {
        Optional<HostId> dispatcher =
                members.holder(members.zone(), new Role.Dispatcher()).map(Member::host);
        if (!dispatcher.equals(lastDispatcher)) {
            lastDispatcher = dispatcher;
            LOG.write(LogEvent.DISPATCHER_CHANGED, dispatcher.map(HostId::value).orElse("nobody"));
        }
    }

    /**
     * Enables or disables polling of the head of the log. In each zone, the dispatcher and the claim writer poll it, so
     * that a change is also found if its writer failed before it notified its peers.
     */
    private static void updateHeadPolling(Duties connected) {
        MemberDuty members = connected.members();
        boolean polls = members.holds(new Role.Dispatcher()) || members.holds(new Role.ClaimWriter());
        connected.changes().offer(new ChangeFollowerEvent.PollingChanged(polls));
    }

    /** Publishes the live hosts of all zones; an unresponsive zone contributes its last known members. */
    private static void publishLiveHosts(Duties connected) {
        Stream<Member> ownZone = connected.members().members().live().values().stream();
        Stream<Member> peerZones =
                connected.members().zones().zones().values().stream().flatMap(zone -> zone.members().stream());
        connected
                .claims()
                .updateLiveHosts(Stream.concat(ownZone, peerZones)
                        .map(Member::incarnation)
                        .collect(ImmutableSet.toImmutableSet()));
    }

    @Override
    public void onZones(ZonesView view) {
        duties.ifPresent(connected -> {
            logZones(view);
            publishLiveHosts(connected);
            view.zones().values().forEach(status -> reportZoneApplied(connected, status));
            ImmutableMap.Builder<AvailabilityZoneId, ZoneSummary> summaries = ImmutableMap.builder();
            view.zones().forEach((zone, status) -> summaries.put(zone, summaryOf(status)));
            connected.dispatchRouter().duty().offer(new DispatchEvent.ZonesSummarised(summaries.buildOrThrow()));
        });
    }

    private static void reportZoneApplied(Duties connected, ZonesView.ZoneStatus status) {
        if (!status.responsive() || status.members().isEmpty()) {
            return;
        }
        HostId reporter = status.members().get(0).host();
        connected.changes().offer(new ChangeFollowerEvent.PeerReported(reporter, status.lowestApplied(), true));
    }

    /**
     * Returns the summary of a zone. A zone that never sent one gets an empty summary, so that no other zone uses its
     * share of the allowances.
     */
    private static ZoneSummary summaryOf(ZonesView.ZoneStatus status) {
        return status.summary()
                .map(payload -> SummaryMessages.fromPayload(payload, status.responsive()))
                .orElseGet(() -> ZoneSummary.empty(status.responsive()));
    }

    private void logZones(ZonesView view) {
        view.zones().forEach((zone, status) -> {
            ZonesView.ZoneStatus before = lastZones.zones().get(zone);
            if (before == null || before.responsive() != status.responsive()) {
                LOG.write(LogEvent.ZONE_HEARD_CHANGED, zone, status.responsive());
            }
        });
        lastZones = view;
    }

    @Override
    public void onConfigured(ChangeState state) {
        duties.ifPresent(connected -> {
            connected.front().configure(state.configuration());
            connected.dispatchRouter().duty().offer(new DispatchEvent.Configured(state.configuration()));
            connected.members().offer(new MemberEvent.AppliedChange(state.number()));
        });
    }

    @Override
    public void fetch(HostId peer, long after) {
        send(peer, ChangeMessages.fetch(after, FETCH_LIMIT));
    }

    @Override
    public void deliver(HostId peer, ChangeBatch batch) {
        duties.ifPresent(connected -> send(peer, connected.changeMessages().batch(batch)));
    }

    private void send(HostId peer, Envelope message) {
        duties.flatMap(connected -> connected.members().find(peer))
                .ifPresent(member -> peers.send(member.endpoint(), message));
    }
}
