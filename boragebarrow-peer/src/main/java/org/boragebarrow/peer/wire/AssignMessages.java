package org.boragebarrow.peer.wire;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.decision.assign.WorkTerms;
import org.boragebarrow.decision.fleet.QuietPeriods;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.PromptPartId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.peer.proto.AskTarget;
import org.boragebarrow.peer.proto.AskedWork;
import org.boragebarrow.peer.proto.AssignedHelper;
import org.boragebarrow.peer.proto.AttemptEnded;
import org.boragebarrow.peer.proto.AttemptProgress;
import org.boragebarrow.peer.proto.ConnectionRefused;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.HoldTarget;
import org.boragebarrow.peer.proto.PauseExpected;
import org.boragebarrow.peer.proto.Probe;
import org.boragebarrow.peer.proto.TargetAssigned;
import org.boragebarrow.peer.proto.TargetLeaving;
import org.boragebarrow.peer.proto.TargetQueued;
import org.boragebarrow.peer.proto.TargetQuiet;
import org.boragebarrow.peer.proto.TargetRefused;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Converts the messages between hosts and the region's assigner.
 *
 * <p>Times are sent as durations, since the clocks of two hosts are unrelated. Methods that decode a message throw
 * {@link IllegalArgumentException} on values that the types do not allow.
 */
public final class AssignMessages {
    private AssignMessages() {}

    /** An assignment as it is sent. The host that receives it resolves the targets in its own view of the fleet. */
    public record Assigned(
            AttemptId id,
            TargetId target,
            ImmutableList<HelperTarget.Ref> helpers,
            Duration predictedTimeToFirstEvent,
            Optional<Duration> lateAfter) {}

    /** Returns the message that requests an assignment. */
    public static Envelope assignmentRequest(Work work) {
        return Envelope.newBuilder()
                .setAskTarget(AskTarget.newBuilder().setWork(toWork(work)))
                .build();
    }

    private static AskedWork toWork(Work work) {
        AskedWork.Builder message = AskedWork.newBuilder()
                .setAttempt(GrantMessages.toAttempt(work.id()))
                .setService(work.service().value())
                .setZone(work.zone().value())
                .setObjectiveMillis(work.objective().toMillis())
                .setPauseMillis(work.pauseObjective().orElse(Duration.ZERO).toMillis())
                .setAgeMillis(work.age().toMillis())
                .setRemainingMillis(work.remaining().toMillis());
        work.size()
                .ifPresent(size -> message.setSized(true)
                        .setPromptTokens(size.promptTokens())
                        .setAnswerTokens(size.answerTokens()));
        work.excluded().forEach(target -> message.addExcluded(target.value()));
        work.parts().shared().forEach(part -> message.addSharedParts(part.value()));
        work.parts().own().ifPresent(part -> message.setOwnPart(part.value()));
        message.setCrashes(work.crashes());
        if (!work.terms().equals(WorkTerms.DEFAULT)) {
            message.setTerms(WorkTermsMessages.toMessage(work.terms()));
        }
        return message.build();
    }

    /** Decodes the work for which a target is requested. */
    public static Work fromWork(AskedWork message) {
        Optional<PromptSize> size = message.getSized()
                ? Optional.of(new PromptSize(message.getPromptTokens(), message.getAnswerTokens()))
                : Optional.empty();
        Optional<Duration> pauseObjective = message.getPauseMillis() == 0
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(message.getPauseMillis()));
        ImmutableSet<TargetId> excluded =
                message.getExcludedList().stream().map(TargetId::of).collect(ImmutableSet.toImmutableSet());
        return new Work(
                GrantMessages.fromAttempt(message.getAttempt()),
                ServiceName.of(message.getService()),
                AvailabilityZoneId.of(message.getZone()),
                size,
                Duration.ofMillis(message.getObjectiveMillis()),
                pauseObjective,
                Duration.ofMillis(message.getAgeMillis()),
                Duration.ofMillis(message.getRemainingMillis()),
                excluded,
                toParts(message),
                message.getCrashes(),
                message.hasTerms() ? WorkTermsMessages.fromMessage(message.getTerms()) : WorkTerms.DEFAULT);
    }

    private static PromptParts toParts(AskedWork message) {
        ImmutableList<PromptPartId> shared =
                message.getSharedPartsList().stream().map(PromptPartId::of).collect(ImmutableList.toImmutableList());
        Optional<PromptPartId> own =
                Optional.of(message.getOwnPart()).filter(id -> !id.isEmpty()).map(PromptPartId::of);
        return new PromptParts(shared, own);
    }

    /** Returns the message that reports a decision of the assigner to the requesting host. */
    public static Envelope effect(AssignEffect.ForAttempt effect) {
        Envelope.Builder envelope = Envelope.newBuilder();
        switch (effect) {
            case AssignEffect.Queued queued ->
                envelope.setTargetQueued(TargetQueued.newBuilder().setAttempt(GrantMessages.toAttempt(queued.id())));
            case AssignEffect.PauseExpected expected ->
                envelope.setPauseExpected(PauseExpected.newBuilder()
                        .setAttempt(GrantMessages.toAttempt(expected.id()))
                        .setPauseMillis(expected.pause().toMillis()));
            case AssignEffect.Assigned assigned -> envelope.setTargetAssigned(toAssigned(assigned));
            case AssignEffect.Refused refused ->
                envelope.setTargetRefused(TargetRefused.newBuilder()
                        .setAttempt(GrantMessages.toAttempt(refused.id()))
                        .setReason(TargetRefused.Reason.valueOf(refused.reason().name()))
                        .setRetryAfterMillis(refused.retryAfter().toMillis()));
        }
        return envelope.build();
    }

    private static TargetAssigned toAssigned(AssignEffect.Assigned assigned) {
        TargetAssigned.Builder message = TargetAssigned.newBuilder()
                .setAttempt(GrantMessages.toAttempt(assigned.id()))
                .setTarget(assigned.assignment().target().id().value())
                .setPredictedMillis(
                        assigned.assignment().predictedTimeToFirstEvent().toMillis())
                .setLateAfterMillis(assigned.assignment()
                        .lateAfter()
                        .map(Duration::toMillis)
                        .orElse(0L));
        assigned.assignment().helperRefs().forEach(helper -> message.addHelpers(toHelper(helper)));
        return message.build();
    }

    /** Decodes an assignment. */
    public static Assigned fromAssigned(TargetAssigned message) {
        return new Assigned(
                GrantMessages.fromAttempt(message.getAttempt()),
                TargetId.of(message.getTarget()),
                helpers(message.getHelpersList()),
                Duration.ofMillis(message.getPredictedMillis()),
                Optional.of(Duration.ofMillis(message.getLateAfterMillis())).filter(time -> !time.isZero()));
    }

    /** Decodes the announcement of a pause. */
    public static AssignEffect.PauseExpected fromPauseExpected(PauseExpected message) {
        return new AssignEffect.PauseExpected(
                GrantMessages.fromAttempt(message.getAttempt()), Duration.ofMillis(message.getPauseMillis()));
    }

    /** Decodes a refusal. */
    public static AssignEffect.Refused fromRefused(TargetRefused message) {
        return new AssignEffect.Refused(
                GrantMessages.fromAttempt(message.getAttempt()),
                RefusalReason.valueOf(message.getReason().name()),
                Duration.ofMillis(message.getRetryAfterMillis()));
    }

    /** Returns the message that reports the first event of the response to an attempt. */
    public static Envelope progress(AttemptId id) {
        return Envelope.newBuilder()
                .setAttemptProgress(AttemptProgress.newBuilder().setAttempt(GrantMessages.toAttempt(id)))
                .build();
    }

    /** Returns the message that reports the end of an attempt. */
    public static Envelope ended(AttemptId id, Outcome outcome) {
        return Envelope.newBuilder()
                .setAttemptEnded(AttemptEnded.newBuilder()
                        .setAttempt(GrantMessages.toAttempt(id))
                        .setOutcome(toMessage(outcome))
                        .setDisconnected(outcome == Outcome.ABORTED)
                        .setReplaced(outcome == Outcome.REPLACED))
                .build();
    }

    private static AttemptEnded.Outcome toMessage(Outcome outcome) {
        return switch (outcome) {
            case SUCCEEDED -> AttemptEnded.Outcome.SUCCEEDED;
            case REFUSED -> AttemptEnded.Outcome.REFUSED;
            case UNREACHABLE, REPLACED -> AttemptEnded.Outcome.UNREACHABLE;
            case FAILED, ABORTED -> AttemptEnded.Outcome.FAILED;
            case SILENT -> AttemptEnded.Outcome.SILENT;
            case WITHDRAWN -> AttemptEnded.Outcome.WITHDRAWN;
        };
    }

    private static Outcome fromMessage(AttemptEnded message) {
        return switch (message.getOutcome()) {
            case SUCCEEDED -> Outcome.SUCCEEDED;
            case REFUSED -> Outcome.REFUSED;
            case UNREACHABLE -> message.getReplaced() ? Outcome.REPLACED : Outcome.UNREACHABLE;
            case FAILED -> message.getDisconnected() ? Outcome.ABORTED : Outcome.FAILED;
            case SILENT -> Outcome.SILENT;
            case WITHDRAWN -> Outcome.WITHDRAWN;
            case UNRECOGNIZED ->
                throw new IllegalArgumentException("unknown outcome of an attempt: " + message.getOutcomeValue());
        };
    }

    /** Decodes the end of an attempt. */
    public static AssignEvent.Ended fromEnded(AttemptEnded message) {
        return new AssignEvent.Ended(GrantMessages.fromAttempt(message.getAttempt()), fromMessage(message));
    }

    /** Returns the message that reports that a target refuses connections. */
    public static Envelope connectionRefused(TargetIncarnation target) {
        return Envelope.newBuilder()
                .setConnectionRefused(ConnectionRefused.newBuilder()
                        .setTarget(target.id().value())
                        .setStartedMillis(target.startedMillis()))
                .build();
    }

    /** Returns the message that announces that a target is leaving. */
    public static Envelope targetLeaving(TargetIncarnation target) {
        return Envelope.newBuilder()
                .setTargetLeaving(TargetLeaving.newBuilder()
                        .setTarget(target.id().value())
                        .setStartedMillis(target.startedMillis()))
                .build();
    }

    /** Decodes the announcement that a target is leaving. */
    public static TargetIncarnation fromTargetLeaving(TargetLeaving message) {
        return new TargetIncarnation(TargetId.of(message.getTarget()), message.getStartedMillis());
    }

    /** Returns the message that reports that a target wants no requests of the sending host for some time. */
    public static Envelope targetQuiet(TargetIncarnation target, Duration time) {
        return Envelope.newBuilder()
                .setTargetQuiet(TargetQuiet.newBuilder()
                        .setTarget(target.id().value())
                        .setStartedMillis(target.startedMillis())
                        .setTimeMillis(time.toMillis()))
                .build();
    }

    /**
     * Decodes the report that a target wants no requests of the sending host.
     *
     * @throws IllegalArgumentException if the time is negative or longer than {@link QuietPeriods#MAX_TIME}
     */
    public static AssignEvent.QuietRequested fromTargetQuiet(HostId host, TargetQuiet message) {
        Duration time = Duration.ofMillis(message.getTimeMillis());
        checkArgument(!time.isNegative() && time.compareTo(QuietPeriods.MAX_TIME) <= 0, "invalid time: %s", time);
        return new AssignEvent.QuietRequested(
                host, new TargetIncarnation(TargetId.of(message.getTarget()), message.getStartedMillis()), time);
    }

    /** Decodes the report that a target refuses connections. */
    public static AssignEvent.ConnectionRefused fromConnectionRefused(ConnectionRefused message) {
        return new AssignEvent.ConnectionRefused(
                new TargetIncarnation(TargetId.of(message.getTarget()), message.getStartedMillis()));
    }

    /** Returns the message that reports to an assigner an assignment made by another assigner. */
    public static Envelope assignmentReport(AssignEvent.AssignmentReported reported) {
        HoldTarget.Builder message = HoldTarget.newBuilder()
                .setWork(toWork(reported.work()))
                .setTarget(reported.target().value())
                .setFirstEventSeen(reported.firstEventSeen());
        reported.helpers().forEach(helper -> message.addHelpers(toHelper(helper)));
        return Envelope.newBuilder().setHoldTarget(message).build();
    }

    /** Decodes an assignment made by another assigner. */
    public static AssignEvent.AssignmentReported fromAssignmentReport(HoldTarget message) {
        return new AssignEvent.AssignmentReported(
                fromWork(message.getWork()),
                TargetId.of(message.getTarget()),
                helpers(message.getHelpersList()),
                message.getFirstEventSeen());
    }

    /**
     * Returns a probe or the answer to one.
     *
     * @param stopping whether the sending host is stopping, so that others must not request assignments from it
     */
    public static Envelope probe(boolean answer, boolean stopping) {
        return Envelope.newBuilder()
                .setProbe(Probe.newBuilder().setAnswer(answer).setStopping(stopping))
                .build();
    }

    private static AssignedHelper toHelper(HelperTarget.Ref helper) {
        return AssignedHelper.newBuilder()
                .setTarget(helper.target().value())
                .setStoredTokens(helper.storedTokens())
                .build();
    }

    private static ImmutableList<HelperTarget.Ref> helpers(Iterable<AssignedHelper> messages) {
        ImmutableList.Builder<HelperTarget.Ref> helpers = ImmutableList.builder();
        messages.forEach(
                helper -> helpers.add(new HelperTarget.Ref(TargetId.of(helper.getTarget()), helper.getStoredTokens())));
        return helpers.build();
    }
}
