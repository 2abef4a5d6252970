package org.boragebarrow.node.assign;

import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.quarantine.QuarantineEntry;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.node.relay.DecisionLog;
import org.boragebarrow.node.relay.RelayEvent;
import org.boragebarrow.peer.link.PeerListener;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.Probe;
import org.boragebarrow.peer.wire.AssignMessages;
import org.boragebarrow.peer.wire.GrantMessages;
import org.boragebarrow.peer.wire.QuarantineMessages;

/** Decodes the messages of other hosts that concern assignments. Confined to the event loop. */
final class AssignMessageHandler implements PeerListener {
    private final Sink sink;
    private final DecisionLog log;

    AssignMessageHandler(Sink sink, DecisionLog log) {
        this.sink = sink;
        this.log = log;
    }

    /** Receives what the messages say. */
    interface Sink {
        /** Receives that a host sent a message of any kind; called before what it says is applied. */
        void onAlive(HostIncarnation from);

        void onRequested(HostId host, Work work);

        void onReported(HostId host, AssignEvent.AssignmentReported reported);

        /** Receives an event for this host's assigner. */
        void onEvent(AssignEvent event);

        void onLeaving(TargetIncarnation target);

        void onQueued(AttemptId id);

        void onAssigned(AssignMessages.Assigned message);

        void onRefused(AssignEffect.Refused refused);

        void onPauseExpected(AssignEffect.PauseExpected expected);

        void onQuarantineEntry(QuarantineEntry entry);

        void onProbe(HostId host, Probe probe);

        /** Receives a message of another kind; returns whether it concerns shared tables. */
        boolean onTableMessage(HostId host, Envelope message);
    }

    @Override
    public void onMessage(HostIncarnation from, Envelope message) {
        sink.onAlive(from);
        try {
            receive(from.host(), message);
        } catch (IllegalArgumentException e) {
            log.write(RelayEvent.UNUSABLE, "host", from.host(), "reason", e.getMessage());
        }
    }

    private void receive(HostId host, Envelope message) {
        switch (message.getBodyCase()) {
            case ASK_TARGET ->
                sink.onRequested(
                        host, AssignMessages.fromWork(message.getAskTarget().getWork()));
            case ATTEMPT_PROGRESS ->
                sink.onEvent(new AssignEvent.FirstEventSeen(
                        GrantMessages.fromAttempt(message.getAttemptProgress().getAttempt())));
            case ATTEMPT_ENDED -> sink.onEvent(AssignMessages.fromEnded(message.getAttemptEnded()));
            case CONNECTION_REFUSED ->
                sink.onEvent(AssignMessages.fromConnectionRefused(message.getConnectionRefused()));
            case TARGET_QUIET -> sink.onEvent(AssignMessages.fromTargetQuiet(host, message.getTargetQuiet()));
            case TARGET_LEAVING -> sink.onLeaving(AssignMessages.fromTargetLeaving(message.getTargetLeaving()));
            case HOLD_TARGET -> sink.onReported(host, AssignMessages.fromAssignmentReport(message.getHoldTarget()));
            case TARGET_QUEUED ->
                sink.onQueued(
                        GrantMessages.fromAttempt(message.getTargetQueued().getAttempt()));
            case TARGET_ASSIGNED -> sink.onAssigned(AssignMessages.fromAssigned(message.getTargetAssigned()));
            case TARGET_REFUSED -> sink.onRefused(AssignMessages.fromRefused(message.getTargetRefused()));
            case PAUSE_EXPECTED -> sink.onPauseExpected(AssignMessages.fromPauseExpected(message.getPauseExpected()));
            case QUARANTINE_ENTRY ->
                sink.onQuarantineEntry(QuarantineMessages.fromMessage(message.getQuarantineEntry()));
            case PROBE -> sink.onProbe(host, message.getProbe());
            default -> {
                if (!sink.onTableMessage(host, message)) {
                    log.write(RelayEvent.UNUSABLE, "host", host, "reason", "unexpected " + message.getBodyCase());
                }
            }
        }
    }

    @Override
    public void onRejected(String reason) {
        log.write(RelayEvent.PEER, "state", "rejected", "reason", reason);
    }
}
