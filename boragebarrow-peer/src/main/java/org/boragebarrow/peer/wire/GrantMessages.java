package org.boragebarrow.peer.wire;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.decision.dispatch.DispatchEffect;
import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.decision.dispatch.DispatchEvent.HeldGrant;
import org.boragebarrow.decision.dispatch.DispatchEvent.Outcome;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.peer.proto.Attempt;
import org.boragebarrow.peer.proto.Envelope;
import org.boragebarrow.peer.proto.FinishGrant;
import org.boragebarrow.peer.proto.GrantGiven;
import org.boragebarrow.peer.proto.GrantQueued;
import org.boragebarrow.peer.proto.GrantRefused;
import org.boragebarrow.peer.proto.PromptWork;
import org.boragebarrow.peer.proto.RenewGrants;
import org.boragebarrow.peer.proto.SubmitGrant;
import org.boragebarrow.peer.proto.WithdrawGrant;

/**
 * Converts the messages about grants between hosts and dispatchers.
 *
 * <p>A deadline is sent as the remaining time, since the clocks of two hosts are unrelated. Methods that decode a
 * message throw {@link IllegalArgumentException} on values that the types do not allow.
 */
public final class GrantMessages {
    private static final Outcome[] OUTCOMES = Outcome.values();

    private GrantMessages() {}

    /** Encodes an attempt id. */
    public static Attempt toAttempt(AttemptId attempt) {
        return Attempt.newBuilder()
                .setHost(attempt.owner().host().value())
                .setIncarnation(attempt.owner().number().value())
                .setCounter(attempt.counter())
                .build();
    }

    /** Decodes an attempt id. */
    public static AttemptId fromAttempt(Attempt attempt) {
        HostIncarnation owner =
                HostIncarnation.of(HostId.of(attempt.getHost()), IncarnationNumber.of(attempt.getIncarnation()));
        return AttemptId.of(owner, attempt.getCounter());
    }

    /** Returns the message that requests a grant. */
    public static Envelope submit(GrantRequest request, long nowNanos) {
        return Envelope.newBuilder().setSubmitGrant(toSubmit(request, nowNanos)).build();
    }

    private static SubmitGrant toSubmit(GrantRequest request, long nowNanos) {
        SubmitGrant.Builder message = SubmitGrant.newBuilder()
                .setAttempt(toAttempt(request.attempt()))
                .setOrganisation(request.organisation().value())
                .setRemainingMillis(TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos() - nowNanos))
                .setSpilled(request.spilled());
        request.excluded().forEach(target -> message.addExcluded(target.value()));
        switch (request.work()) {
            case Work.Prompt prompt -> message.setPrompt(toPrompt(prompt));
            case Work.ServiceCall call -> message.setService(call.service().value());
        }
        return message.build();
    }

    private static PromptWork toPrompt(Work.Prompt prompt) {
        return PromptWork.newBuilder()
                .setModel(prompt.model().value())
                .setPromptTokens(prompt.promptTokens())
                .setMaxTokens(prompt.maxTokens())
                .addAllPrefix(prompt.prefix().asList())
                .build();
    }

    /** Decodes the request for a grant. */
    public static GrantRequest fromSubmit(SubmitGrant message, long nowNanos) {
        ImmutableSet<TargetId> excluded =
                message.getExcludedList().stream().map(TargetId::of).collect(ImmutableSet.toImmutableSet());
        return new GrantRequest(
                fromAttempt(message.getAttempt()),
                OrganisationId.of(message.getOrganisation()),
                fromWork(message),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(message.getRemainingMillis()),
                excluded,
                message.getSpilled());
    }

    private static Work fromWork(SubmitGrant message) {
        if (message.hasService()) {
            return new Work.ServiceCall(ServiceName.of(message.getService()));
        }
        PromptWork prompt = message.getPrompt();
        return new Work.Prompt(
                ModelId.of(prompt.getModel()),
                prompt.getPromptTokens(),
                prompt.getMaxTokens(),
                ImmutableLongArray.copyOf(prompt.getPrefixList()));
    }

    /** Returns the message that withdraws an attempt. */
    public static Envelope withdraw(AttemptId attempt) {
        WithdrawGrant message =
                WithdrawGrant.newBuilder().setAttempt(toAttempt(attempt)).build();
        return Envelope.newBuilder().setWithdrawGrant(message).build();
    }

    /** Returns the message that renews grants. */
    public static Envelope renew(ImmutableList<HeldGrant> grants, long nowNanos) {
        RenewGrants.Builder message = RenewGrants.newBuilder();
        for (HeldGrant grant : grants) {
            org.boragebarrow.peer.proto.HeldGrant.Builder heldGrant = message.addGrantsBuilder();
            heldGrant.setRequest(toSubmit(grant.request(), nowNanos));
            grant.targets().forEach(target -> heldGrant.addTargets(target.value()));
        }
        return Envelope.newBuilder().setRenewGrants(message).build();
    }

    /** Decodes a renewal. */
    public static DispatchEvent.Renewed fromRenew(HostIncarnation front, RenewGrants message, long nowNanos) {
        ImmutableList.Builder<HeldGrant> grants = ImmutableList.builder();
        message.getGrantsList()
                .forEach(heldGrant -> grants.add(new HeldGrant(
                        fromSubmit(heldGrant.getRequest(), nowNanos), targets(heldGrant.getTargetsList()))));
        return new DispatchEvent.Renewed(front, grants.build());
    }

    private static ImmutableList<TargetId> targets(Iterable<String> ids) {
        ImmutableList.Builder<TargetId> targets = ImmutableList.builder();
        ids.forEach(id -> targets.add(TargetId.of(id)));
        return targets.build();
    }

    /** Returns the message that reports the end of a granted attempt. */
    public static Envelope finish(AttemptId attempt, TargetId target, int answerTokens, Outcome outcome) {
        FinishGrant message = FinishGrant.newBuilder()
                .setAttempt(toAttempt(attempt))
                .setTarget(target.value())
                .setAnswerTokens(answerTokens)
                .setOutcomeValue(outcome.ordinal())
                .build();
        return Envelope.newBuilder().setFinishGrant(message).build();
    }

    /** Decodes the end of a granted attempt. */
    public static DispatchEvent.Finished fromFinish(FinishGrant message) {
        int outcome = message.getOutcomeValue();
        if (outcome < 0 || outcome >= OUTCOMES.length) {
            throw new IllegalArgumentException("unknown outcome of a granted attempt: " + outcome);
        }
        return new DispatchEvent.Finished(
                fromAttempt(message.getAttempt()),
                TargetId.of(message.getTarget()),
                message.getAnswerTokens(),
                OUTCOMES[outcome]);
    }

    /** Returns the message that reports that an attempt is in the dispatcher's queue. */
    public static Envelope queued(AttemptId attempt) {
        GrantQueued message =
                GrantQueued.newBuilder().setAttempt(toAttempt(attempt)).build();
        return Envelope.newBuilder().setGrantQueued(message).build();
    }

    /** Returns the message that grants targets to an attempt. */
    public static Envelope granted(DispatchEffect.Granted granted) {
        GrantGiven.Builder message = GrantGiven.newBuilder()
                .setAttempt(toAttempt(granted.attempt()))
                .setPriority(granted.priority())
                .setLeaseMillis(granted.lease().toMillis());
        granted.targets().forEach(target -> message.addTargets(target.value()));
        return Envelope.newBuilder().setGrantGiven(message).build();
    }

    /** Decodes a grant. */
    public static DispatchEffect.Granted fromGranted(GrantGiven message) {
        return new DispatchEffect.Granted(
                fromAttempt(message.getAttempt()),
                targets(message.getTargetsList()),
                message.getPriority(),
                Duration.ofMillis(message.getLeaseMillis()));
    }

    /** Returns the message that refuses an attempt. */
    public static Envelope refused(DispatchEffect.Refused refused) {
        GrantRefused message = GrantRefused.newBuilder()
                .setAttempt(toAttempt(refused.attempt()))
                .setKind(refused.kind().name())
                .setMessage(refused.message())
                .setRetryAfterMillis(refused.retryAfter().toMillis())
                .build();
        return Envelope.newBuilder().setGrantRefused(message).build();
    }

    /** Decodes a refusal. */
    public static DispatchEffect.Refused fromRefused(GrantRefused message) {
        return new DispatchEffect.Refused(
                fromAttempt(message.getAttempt()),
                ErrorKind.valueOf(message.getKind()),
                message.getMessage(),
                Duration.ofMillis(message.getRetryAfterMillis()));
    }
}
