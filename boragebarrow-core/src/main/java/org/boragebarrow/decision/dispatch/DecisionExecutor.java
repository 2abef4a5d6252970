package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.allowance.AllowanceLedger;
import org.boragebarrow.decision.prefix.PrefixIndex;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.TargetId;

/** Executes decisions: moves requests between queues and grants, charges allowances and collects the effects. */
final class DecisionExecutor {
    private static final double LOW_SLACK_FACTOR = 4;

    private final DispatchSettings settings;
    private final TargetTable targets;
    private final RequestQueues queues;
    private final GrantTable grants;
    private final AllowanceLedger ledger;
    private final PrefixIndex prefixes;
    private ImmutableList.Builder<DispatchEffect> effects = ImmutableList.builder();

    DecisionExecutor(
            DispatchSettings settings,
            TargetTable targets,
            RequestQueues queues,
            GrantTable grants,
            AllowanceLedger ledger,
            PrefixIndex prefixes) {
        this.settings = settings;
        this.targets = targets;
        this.queues = queues;
        this.grants = grants;
        this.ledger = ledger;
        this.prefixes = prefixes;
    }

    /** Returns and clears the effects collected since the last call. */
    ImmutableList<DispatchEffect> drainEffects() {
        ImmutableList<DispatchEffect> drained = effects.build();
        if (!drained.isEmpty()) {
            effects = ImmutableList.builder();
        }
        return drained;
    }

    void addEffect(DispatchEffect effect) {
        effects.add(effect);
    }

    /** Removes a queued request and refuses it. */
    void refuse(QueuedRequest queued, DispatchEffect refusal) {
        cancel(queued);
        addEffect(refusal);
    }

    /** Removes a queued request and refunds its charge. */
    void cancel(QueuedRequest queued) {
        queues.remove(queued);
        ledger.settle(queued.request.organisation(), queued.tokens);
    }

    /** Grants a queued prompt. */
    void grant(QueuedRequest queued, PlacementDecision decision, long nowNanos) {
        ImmutableList.Builder<TargetId> ids = ImmutableList.builder();
        decision.engines().forEach(e -> ids.add(e.id));
        Grant grant = new Grant(
                queued.request,
                ids.build(),
                decision.tokensPerEngine(),
                decision.prefillTokensPerEngine(),
                priority(queued, decision, nowNanos),
                nowNanos,
                nowNanos + (long) (decision.finishSeconds() * 1e9));
        if (queued.request.work() instanceof Work.Prompt p) {
            decision.engines().forEach(e -> prefixes.onDispatched(e.id, p.prefix()));
        }
        grant(queued, grant, nowNanos);
    }

    /** Grants a queued service call. */
    void grant(QueuedRequest queued, ServiceView target, long nowNanos) {
        Grant grant = new Grant(queued.request, ImmutableList.of(target.id), 0, 0, 0, nowNanos, nowNanos);
        grant(queued, grant, nowNanos);
    }

    private void grant(QueuedRequest queued, Grant grant, long nowNanos) {
        queues.grant(queued);
        for (TargetId id : grant.targets) {
            targets.get(id).ifPresent(t -> t.breaker.onSent(nowNanos));
        }
        activate(grant, nowNanos);
        emitGranted(grant);
    }

    /** Emits the effect of a grant; called again when a granted attempt is submitted again. */
    void emitGranted(Grant grant) {
        addEffect(new DispatchEffect.Granted(grant.request.attempt(), grant.targets, grant.priority, settings.lease()));
    }

    /** Records a grant that another dispatcher made. */
    void adopt(DispatchEvent.HeldGrant held, long nowNanos) {
        GrantRequest request = held.request();
        queues.get(request.attempt()).ifPresent(this::cancel);
        int parts = Math.max(1, held.targets().size());
        long tokens = 0;
        double prefill = 0;
        LengthClass lengthClass = LengthClass.SHORT;
        if (request.work() instanceof Work.Prompt p) {
            tokens = ((long) p.promptTokens() + p.maxTokens() + parts - 1) / parts;
            lengthClass = p.lengthClass();
        }
        ledger.addInProgress(request.organisation());
        int priority = priority(lengthClass);
        // The prompt may have been prefilled already, so no prefill is counted.
        activate(
                new Grant(request, held.targets(), tokens, prefill, priority, nowNanos, request.deadlineNanos()),
                nowNanos);
    }

    private void activate(Grant grant, long nowNanos) {
        grant.leaseExpiryNanos = nowNanos + settings.lease().toNanos();
        grants.add(grant);
        for (TargetId id : grant.targets) {
            targets.get(id).ifPresent(t -> t.add(grant, nowNanos));
        }
    }

    /** Ends a grant and refunds its unused tokens. */
    void release(Grant grant, long unusedTokens, long nowNanos) {
        grants.remove(grant);
        for (TargetId id : grant.targets) {
            Optional<TargetView> target = targets.get(id);
            target.ifPresent(t -> t.remove(grant, nowNanos));
        }
        ledger.settle(grant.request.organisation(), unusedTokens);
    }

    /**
     * Returns the priority of the length class, or of the next shorter class for a prompt with little slack; the
     * priority of short prompts is never given to another class.
     */
    private int priority(QueuedRequest queued, PlacementDecision decision, long nowNanos) {
        int base = priority(queued.lengthClass);
        double remainingSeconds = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        boolean lowSlack = remainingSeconds < LOW_SLACK_FACTOR * decision.finishSeconds();
        return lowSlack && base > LengthClass.MEDIUM.ordinal() ? base - 1 : base;
    }

    private int priority(LengthClass lengthClass) {
        return settings.policy().isClassAware() ? lengthClass.ordinal() : 0;
    }
}
