package org.boragebarrow.peer.wire;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.assign.AssignEffect;
import org.boragebarrow.decision.assign.AssignEvent;
import org.boragebarrow.decision.assign.Helper;
import org.boragebarrow.decision.assign.Outcome;
import org.boragebarrow.decision.assign.PromptSize;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.assign.Work;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.peer.proto.AskTarget;
import org.boragebarrow.peer.proto.AskedWork;
import org.boragebarrow.peer.proto.AssignedHelper;
import org.boragebarrow.peer.proto.AttemptEnded;
import org.boragebarrow.peer.proto.AttemptProgress;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.HoldTarget;
import org.boragebarrow.peer.proto.Probe;
import org.boragebarrow.peer.proto.TargetAssigned;
import org.boragebarrow.peer.proto.TargetQueued;
import org.boragebarrow.peer.proto.TargetRefused;

/**
 * Translates what hosts and the region's assigner tell one another.
 *
 * <p>Times travel as durations, since clocks of two hosts have nothing in common. Methods that read throw {@link
 * IllegalArgumentException} on values that the types do not allow.
 */
public final class AssignMessages {
    private AssignMessages() {}

    /**
     * An assignment as it travels: the asking host resolves the targets in its own view of the fleet.
     *
     * @param predictedFirst the time to the first event
     */
    public record Assigned(AttemptId id, TargetId target, ImmutableList<Helper.Ref> helpers, Duration predictedFirst) {}

    /** Returns the question for a target. */
    public static Envelope ask(Work work) {
        return Envelope.newBuilder()
                .setAskTarget(AskTarget.newBuilder().setWork(toWork(work)))
                .build();
    }

    private static AskedWork toWork(Work work) {
        AskedWork.Builder asked = AskedWork.newBuilder()
                .setAttempt(GrantMessages.toAttempt(work.id()))
                .setService(work.service().value())
                .setZone(work.zone().value())
                .setObjectiveMillis(work.objective().toMillis())
                .setPauseMillis(work.pauseObjective().orElse(Duration.ZERO).toMillis())
                .setAgeMillis(work.age().toMillis())
                .setRemainingMillis(work.remaining().toMillis());
        work.size()
                .ifPresent(size -> asked.setSized(true)
                        .setPromptTokens(size.promptTokens())
                        .setAnswerTokens(size.answerTokens()));
        work.excluded().forEach(target -> asked.addExcluded(target.value()));
        return asked.build();
    }

    /** Reads the work that a target is asked for. */
    public static Work fromWork(AskedWork asked) {
        Optional<PromptSize> size = asked.getSized()
                ? Optional.of(new PromptSize(asked.getPromptTokens(), asked.getAnswerTokens()))
                : Optional.empty();
        Optional<Duration> pause =
                asked.getPauseMillis() == 0 ? Optional.empty() : Optional.of(Duration.ofMillis(asked.getPauseMillis()));
        ImmutableSet<TargetId> excluded =
                asked.getExcludedList().stream().map(TargetId::of).collect(ImmutableSet.toImmutableSet());
        return new Work(
                GrantMessages.fromAttempt(asked.getAttempt()),
                ServiceName.of(asked.getService()),
                AvailabilityZoneId.of(asked.getZone()),
                size,
                Duration.ofMillis(asked.getObjectiveMillis()),
                pause,
                Duration.ofMillis(asked.getAgeMillis()),
                Duration.ofMillis(asked.getRemainingMillis()),
                excluded);
    }

    /** Returns the message that tells the asking host of a decision. */
    public static Envelope effect(AssignEffect effect) {
        Envelope.Builder envelope = Envelope.newBuilder();
        switch (effect) {
            case AssignEffect.Queued queued ->
                envelope.setTargetQueued(TargetQueued.newBuilder().setAttempt(GrantMessages.toAttempt(queued.id())));
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
                .setPredictedMillis(assigned.assignment().predictedFirst().toMillis());
        assigned.assignment().helperRefs().forEach(helper -> message.addHelpers(toHelper(helper)));
        return message.build();
    }

    /** Reads an assignment. */
    public static Assigned fromAssigned(TargetAssigned message) {
        return new Assigned(
                GrantMessages.fromAttempt(message.getAttempt()),
                TargetId.of(message.getTarget()),
                helpers(message.getHelpersList()),
                Duration.ofMillis(message.getPredictedMillis()));
    }

    /** Reads a refusal. */
    public static AssignEffect.Refused fromRefused(TargetRefused message) {
        return new AssignEffect.Refused(
                GrantMessages.fromAttempt(message.getAttempt()),
                RefusalReason.valueOf(message.getReason().name()),
                Duration.ofMillis(message.getRetryAfterMillis()));
    }

    /** Returns the message that the first event of an answer came. */
    public static Envelope progress(AttemptId id) {
        return Envelope.newBuilder()
                .setAttemptProgress(AttemptProgress.newBuilder().setAttempt(GrantMessages.toAttempt(id)))
                .build();
    }

    /** Returns the message that an attempt ended. */
    public static Envelope ended(AttemptId id, Outcome outcome) {
        return Envelope.newBuilder()
                .setAttemptEnded(AttemptEnded.newBuilder()
                        .setAttempt(GrantMessages.toAttempt(id))
                        .setOutcome(AttemptEnded.Outcome.valueOf(outcome.name())))
                .build();
    }

    /** Reads the end of an attempt. */
    public static AssignEvent.Ended fromEnded(AttemptEnded message) {
        return new AssignEvent.Ended(
                GrantMessages.fromAttempt(message.getAttempt()),
                Outcome.valueOf(message.getOutcome().name()));
    }

    /** Returns the message that tells an assigner of a target that another one gave. */
    public static Envelope hold(AssignEvent.Held held) {
        HoldTarget.Builder message = HoldTarget.newBuilder()
                .setWork(toWork(held.work()))
                .setTarget(held.target().value())
                .setFirstEventSeen(held.firstEventSeen());
        held.helpers().forEach(helper -> message.addHelpers(toHelper(helper)));
        return Envelope.newBuilder().setHoldTarget(message).build();
    }

    /** Reads a target that another assigner gave. */
    public static AssignEvent.Held fromHold(HoldTarget message) {
        return new AssignEvent.Held(
                fromWork(message.getWork()),
                TargetId.of(message.getTarget()),
                helpers(message.getHelpersList()),
                message.getFirstEventSeen());
    }

    /** Returns a probe, or the answer to one. */
    public static Envelope probe(boolean answer) {
        return Envelope.newBuilder()
                .setProbe(Probe.newBuilder().setAnswer(answer))
                .build();
    }

    private static AssignedHelper toHelper(Helper.Ref helper) {
        return AssignedHelper.newBuilder()
                .setTarget(helper.target().value())
                .setStoredTokens(helper.storedTokens())
                .build();
    }

    private static ImmutableList<Helper.Ref> helpers(Iterable<AssignedHelper> messages) {
        ImmutableList.Builder<Helper.Ref> helpers = ImmutableList.builder();
        messages.forEach(
                helper -> helpers.add(new Helper.Ref(TargetId.of(helper.getTarget()), helper.getStoredTokens())));
        return helpers.build();
    }
}
