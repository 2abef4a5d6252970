package org.boragebarrow.node;

import java.util.Optional;

import org.boragebarrow.decision.change.ChangeFollowerEvent;
import org.boragebarrow.decision.member.MemberEvent;
import org.boragebarrow.decision.member.MemberMessage;
import org.boragebarrow.decision.observe.ObserveEvent;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.node.change.ChangeDuty;
import org.boragebarrow.node.claim.ClaimDuty;
import org.boragebarrow.node.dispatch.DispatchRouter;
import org.boragebarrow.node.log.EventLog;
import org.boragebarrow.node.log.LogEvent;
import org.boragebarrow.node.member.MemberDuty;
import org.boragebarrow.node.metrics.HostMetrics;
import org.boragebarrow.node.target.ObserveDuty;
import org.boragebarrow.peer.link.PeerListener;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.wire.ChangeMessages;
import org.boragebarrow.peer.wire.MemberMessages;
import org.boragebarrow.peer.wire.ReportMessages;

import static com.google.common.base.Preconditions.checkNotNull;

/** Routes each message and link event from peers to the duty that handles it. */
final class PeerRouter implements PeerListener {
    private static final EventLog LOG = EventLog.of(PeerRouter.class);

    private final HostMetrics metrics;

    private volatile Optional<Duties> duties = Optional.empty();

    /** The duties that handle messages. */
    record Duties(
            MemberDuty members,
            ChangeDuty changes,
            ClaimDuty claims,
            DispatchRouter dispatchRouter,
            ObserveDuty observeDuty,
            ChangeMessages changeMessages) {}

    PeerRouter(HostMetrics metrics) {
        this.metrics = checkNotNull(metrics);
    }

    /** Sets the duties that handle messages. Messages received earlier are dropped, as if the link had lost them. */
    void connect(Duties connected) {
        duties = Optional.of(connected);
    }

    @Override
    public void onMessage(HostIncarnation from, Envelope message) {
        duties.ifPresent(connected -> {
            try {
                route(connected, from, message);
            } catch (IllegalArgumentException e) {
                onRejected("malformed " + message.getBodyCase() + " from " + from + ": " + e.getMessage());
            }
        });
    }

    private static void route(Duties duties, HostIncarnation from, Envelope message) {
        Optional<MemberMessage> member = MemberMessages.fromEnvelope(message);
        if (member.isPresent()) {
            duties.members().offer(new MemberEvent.MessageReceived(from, member.get()));
            return;
        }
        switch (message.getBodyCase()) {
            case FETCH_CHANGES ->
                duties.changes()
                        .serve(
                                from.host(),
                                message.getFetchChanges().getAfter(),
                                message.getFetchChanges().getLimit());
            case CHANGE_BATCH ->
                duties.changes()
                        .offer(new ChangeFollowerEvent.Received(
                                from.host(), duties.changeMessages().fromBatch(message.getChangeBatch())));
            case VERDICTS ->
                duties.observeDuty()
                        .offer(new ObserveEvent.StatusesReceived(
                                from.host(), ReportMessages.fromStatuses(message.getVerdicts())));
            case CLAIM_SWAP, CLAIM_SWAPPED -> duties.claims().onMessage(from, message);
            default -> duties.dispatchRouter().onMessage(from, message);
        }
    }

    @Override
    public void onLinkUp(Endpoint peer) {
        duties.ifPresent(connected -> connected.members().offer(new MemberEvent.LinkUp(peer)));
    }

    @Override
    public void onLinkDown(Endpoint peer) {
        LOG.write(LogEvent.PEER_LINK_DOWN, peer);
        duties.ifPresent(connected -> connected.members().offer(new MemberEvent.LinkDown(peer)));
    }

    @Override
    public void onRejected(String reason) {
        metrics.peerRejected();
        LOG.write(LogEvent.PEER_REJECTED, reason);
    }
}
