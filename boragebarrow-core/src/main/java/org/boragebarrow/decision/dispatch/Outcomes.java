package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.allowance.AllowanceLedger;
import org.boragebarrow.decision.prefix.PrefixIndex;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.TargetId;

/** Carries decisions out: moves requests between the queues and the grants, charges them and collects the effects. */
final class Outcomes {
    private static final double PRESSED_FACTOR = 4;

    private final DispatchSettings settings;
    private final TargetTable targets;
    private final Queues queues;
    private final GrantTable grants;
    private final AllowanceLedger ledger;
    private final PrefixIndex prefixes;
    private ImmutableList.Builder<DispatchEffect> effects = ImmutableList.builder();

    Outcomes(
            DispatchSettings settings,
            TargetTable targets,
            Queues queues,
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

    /** Returns the effects since the last call. */
    ImmutableList<DispatchEffect> take() {
        ImmutableList<DispatchEffect> taken = effects.build();
        if (!taken.isEmpty()) {
            effects = ImmutableList.builder();
        }
        return taken;
    }

    void add(DispatchEffect effect) {
        effects.add(effect);
    }

    /** Refuses a waiting request. */
    void refuse(Queued queued, DispatchEffect refusal) {
        drop(queued);
        add(refusal);
    }

    /** Forgets a waiting request that nobody wants any more. */
    void drop(Queued queued) {
        queues.remove(queued);
        ledger.settle(queued.request.organisation(), queued.tokens);
    }

    /** Grants a waiting prompt. */
    void grant(Queued queued, Choice choice, long nowNanos) {
        ImmutableList.Builder<TargetId> ids = ImmutableList.builder();
        choice.engines().forEach(e -> ids.add(e.id));
        Grant grant = new Grant(
                queued.request,
                ids.build(),
                choice.tokensEach(),
                choice.prefillEach(),
                priority(queued, choice, nowNanos),
                nowNanos,
                nowNanos + (long) (choice.finishSeconds() * 1e9));
        if (queued.request.work() instanceof Work.Prompt p) {
            choice.engines().forEach(e -> prefixes.onDispatched(e.id, p.prefix()));
        }
        grant(queued, grant, nowNanos);
    }

    /** Grants a waiting service call. */
    void grant(Queued queued, ServiceView target, long nowNanos) {
        Grant grant = new Grant(queued.request, ImmutableList.of(target.id), 0, 0, 0, nowNanos, nowNanos);
        grant(queued, grant, nowNanos);
    }

    private void grant(Queued queued, Grant grant, long nowNanos) {
        queues.grant(queued);
        for (TargetId id : grant.targets) {
            targets.get(id).ifPresent(t -> t.breaker.onSent(nowNanos));
        }
        hold(grant, nowNanos);
        announce(grant);
    }

    /** Repeats the answer for a request that is already granted. */
    void announce(Grant grant) {
        add(new DispatchEffect.Granted(grant.request.attempt(), grant.targets, grant.priority, settings.lease()));
    }

    /** Counts a grant that another dispatcher made. */
    void adopt(DispatchEvent.HeldGrant held, long nowNanos) {
        GrantRequest request = held.request();
        queues.get(request.attempt()).ifPresent(this::drop);
        int parts = Math.max(1, held.targets().size());
        long tokens = 0;
        double prefill = 0;
        LengthClass lengthClass = LengthClass.SHORT;
        if (request.work() instanceof Work.Prompt p) {
            tokens = ((long) p.promptTokens() + p.maxTokens() + parts - 1) / parts;
            lengthClass = p.lengthClass();
        }
        ledger.adopt(request.organisation());
        int priority = priority(lengthClass);
        // The engine may have read the prompt already, so that no prefill is counted.
        hold(
                new Grant(request, held.targets(), tokens, prefill, priority, nowNanos, request.deadlineNanos()),
                nowNanos);
    }

    private void hold(Grant grant, long nowNanos) {
        grant.leaseUntilNanos = nowNanos + settings.lease().toNanos();
        grants.add(grant);
        for (TargetId id : grant.targets) {
            targets.get(id).ifPresent(t -> t.add(grant, nowNanos));
        }
    }

    /** Ends a grant and gives back what it was charged but did not use. */
    void release(Grant grant, long unusedTokens, long nowNanos) {
        grants.remove(grant);
        for (TargetId id : grant.targets) {
            Optional<TargetView> target = targets.get(id);
            target.ifPresent(t -> t.remove(grant, nowNanos));
        }
        ledger.settle(grant.request.organisation(), unusedTokens);
    }

    /** Lets a prompt that has little slack keep up with the next shorter class, except that nothing joins short ones. */
    private int priority(Queued queued, Choice choice, long nowNanos) {
        int own = priority(queued.lengthClass);
        double left = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        boolean pressed = left < PRESSED_FACTOR * choice.finishSeconds();
        return pressed && own > LengthClass.MEDIUM.ordinal() ? own - 1 : own;
    }

    private int priority(LengthClass lengthClass) {
        return settings.policy().isClassAware() ? lengthClass.ordinal() : 0;
    }
}
