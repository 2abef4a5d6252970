package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.allowance.AllowanceLedger;
import org.boragebarrow.decision.allowance.ZoneShares;
import org.boragebarrow.decision.prefix.PrefixIndex;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Grants targets to the requests of one availability zone.
 *
 * <p>Every submitted attempt is resolved exactly once (granted, refused or spilled), unless its front withdraws it or
 * is lost; submitting a granted attempt again repeats the grant. Requests that wait for a point in time rather than for
 * an event are processed on {@link DispatchEvent.Ticked}, which should be applied at least every 20 ms.
 */
public final class Dispatcher implements Machine<DispatchEvent, DispatchEffect> {
    private final DispatchSettings settings;
    private final TargetTable targets;
    private final RequestQueues queues;
    private final GrantTable grants = new GrantTable();
    private final AnswerEstimator answerEstimator = new AnswerEstimator();
    private final PrefixIndex prefixes;
    private final ZoneShares shares;
    private final AllowanceLedger ledger;
    private final PeerZoneSummaries peerZones;
    private final Admission admission;
    private final DecisionExecutor executor;
    private final Scheduler scheduler;
    private Configuration configuration = Configuration.empty();
    private long nextSequence;

    /** Creates a dispatcher without targets and plans. */
    public Dispatcher(AvailabilityZoneId zone, DispatchSettings settings) {
        this.settings = checkNotNull(settings);
        targets = new TargetTable(checkNotNull(zone), settings);
        queues = new RequestQueues(settings);
        prefixes = new PrefixIndex(settings.cache().maxBlocks());
        shares = new ZoneShares(zone, settings.shares().floor());
        ledger = new AllowanceLedger(shares, settings.shares().burst());
        peerZones = new PeerZoneSummaries(zone);
        admission = new Admission(settings, targets, queues, ledger, peerZones, answerEstimator);
        executor = new DecisionExecutor(settings, targets, queues, grants, ledger, prefixes);
        Placement placement = new Placement(settings, prefixes);
        scheduler = new Scheduler(settings, placement, admission, queues, executor);
    }

    @Override
    public ImmutableList<DispatchEffect> apply(DispatchEvent event, long nowNanos) {
        checkNotNull(event);
        expire(nowNanos);
        switch (event) {
            case DispatchEvent.Submitted e -> submit(e.request(), nowNanos);
            case DispatchEvent.Withdrawn e -> withdraw(e, nowNanos);
            case DispatchEvent.Renewed e -> renew(e, nowNanos);
            case DispatchEvent.Finished e -> finish(e, nowNanos);
            case DispatchEvent.FrontLost e -> removeFront(e, nowNanos);
            case DispatchEvent.TargetsListed e -> updateTargets(e, nowNanos);
            case DispatchEvent.LoadReported e -> updateLoad(e, nowNanos);
            case DispatchEvent.CacheReported e -> updatePrefixes(e);
            case DispatchEvent.ReachabilityChanged e -> setReachable(e, nowNanos);
            case DispatchEvent.Configured e -> configure(e, nowNanos);
            case DispatchEvent.ZonesSummarised e -> updateZoneSummaries(e);
            case DispatchEvent.Ticked e -> runAll(nowNanos);
        }
        return executor.drainEffects();
    }

    /** Returns the summary of this zone that is sent to the other zones. */
    public ZoneSummary summary(long nowNanos) {
        return ZoneSummaries.summarise(targets, ledger, nowNanos);
    }

    /** Returns the number of requests that wait for a grant. */
    public int queuedCount() {
        return queues.size();
    }

    /** Returns the number of grants in use. */
    public int grantedCount() {
        return grants.size();
    }

    private void expire(long nowNanos) {
        while (true) {
            Optional<QueuedRequest> expired = queues.firstExpired(nowNanos);
            if (expired.isEmpty()) {
                break;
            }
            QueuedRequest q = expired.get();
            executor.refuse(
                    q,
                    Admission.refused(
                                    q.request,
                                    ErrorKind.TIMED_OUT_NOT_RUN,
                                    "the time limit passed while the request was queued")
                            .orElseThrow());
        }
        while (true) {
            Optional<Grant> expired = grants.firstExpired(nowNanos);
            if (expired.isEmpty()) {
                return;
            }
            release(expired.get(), 0, nowNanos);
        }
    }

    private void submit(GrantRequest request, long nowNanos) {
        Optional<Grant> granted = grants.get(request.attempt());
        if (granted.isPresent()) {
            executor.emitGranted(granted.get());
            return;
        }
        if (queues.contains(request.attempt())) {
            return;
        }
        double expectedTokens =
                request.work() instanceof Work.Prompt p ? answerEstimator.expectedTokens(request.organisation(), p) : 0;
        QueuedRequest queued = new QueuedRequest(request, nextSequence++, expectedTokens);
        Optional<DispatchEffect> refusal = admission.admit(queued, configuration, nowNanos);
        if (refusal.isPresent()) {
            executor.addEffect(refusal.get());
            return;
        }
        enqueue(queued, nowNanos);
    }

    private void enqueue(QueuedRequest queued, long nowNanos) {
        int weight = configuration
                .allowanceOf(queued.request.organisation())
                .orElseThrow()
                .weight();
        switch (queued.request.work()) {
            case Work.Prompt p -> {
                ModelPool pool = targets.modelPool(p.model()).orElseThrow();
                pool.onSubmitted(queued.lengthClass, p.promptTokens(), nowNanos);
                queues.add(queued, pool, admission.queueIndex(pool, queued), weight);
                scheduler.run(pool, configuration, nowNanos);
            }
            case Work.ServiceCall c -> {
                ServicePool pool = targets.servicePool(c.service()).orElseThrow();
                queues.add(queued, pool, weight);
                scheduler.run(pool, configuration, nowNanos);
            }
        }
    }

    private void withdraw(DispatchEvent.Withdrawn event, long nowNanos) {
        queues.get(event.attempt()).ifPresent(executor::cancel);
        Optional<Grant> granted = grants.get(event.attempt());
        if (granted.isPresent()) {
            Grant g = granted.get();
            g.targets.forEach(id -> targets.get(id).ifPresent(t -> t.breaker.onInconclusive(nowNanos)));
            release(g, g.tokens(), nowNanos);
        }
    }

    private void renew(DispatchEvent.Renewed event, long nowNanos) {
        for (DispatchEvent.HeldGrant held : event.grants()) {
            Optional<Grant> granted = grants.get(held.request().attempt());
            if (granted.isPresent()) {
                grants.renew(granted.get(), nowNanos + settings.lease().toNanos());
            } else {
                executor.adopt(held, nowNanos);
            }
        }
    }

    private void finish(DispatchEvent.Finished event, long nowNanos) {
        Optional<TargetView> target = targets.get(event.target());
        target.ifPresent(t -> t.onOutcome(event.outcome(), nowNanos));
        Optional<Grant> granted = grants.get(event.attempt());
        if (granted.isEmpty()) {
            return;
        }
        Grant g = granted.get();
        long unused = 0;
        if (g.request.work() instanceof Work.Prompt p) {
            unused = unusedTokens(p, event);
            if (event.outcome() == DispatchEvent.Outcome.COMPLETED) {
                answerEstimator.onAnswer(g.request.organisation(), p, event.answerTokens());
                recordAnswerTime(g, p, event, nowNanos);
            }
        }
        release(g, unused, nowNanos);
    }

    private void recordAnswerTime(Grant grant, Work.Prompt prompt, DispatchEvent.Finished event, long nowNanos) {
        Optional<EngineView> engine = targets.engine(event.target()).filter(EngineView::isReported);
        Optional<ModelPool> pool = targets.modelPool(prompt.model());
        if (grant.targets.size() == 1 && engine.isPresent() && pool.isPresent()) {
            pool.get().decodeSlowdown.onAnswer(engine.get(), grant, event.answerTokens(), nowNanos);
        }
    }

    private static long unusedTokens(Work.Prompt prompt, DispatchEvent.Finished event) {
        long unanswered = Math.max(0, prompt.maxTokens() - event.answerTokens());
        // A failed attempt is retried on another target, which charges the prompt tokens again.
        return event.outcome() == DispatchEvent.Outcome.FAILED ? unanswered + prompt.promptTokens() : unanswered;
    }

    private void removeFront(DispatchEvent.FrontLost event, long nowNanos) {
        queues.ofFront(event.front()).forEach(executor::cancel);
        for (Grant g : grants.ofFront(event.front())) {
            executor.release(g, 0, nowNanos);
        }
        unblockAll();
        runAll(nowNanos);
    }

    private void updateTargets(DispatchEvent.TargetsListed event, long nowNanos) {
        TargetTable.Changes changes = targets.replaceTargets(event.targets(), configuration);
        changes.removed().forEach(prefixes::onRemoved);
        for (TargetId id : changes.added()) {
            TargetView view = targets.get(id).orElseThrow();
            grants.onTarget(id).forEach(g -> view.add(g, nowNanos));
        }
        unblockAll();
        runAll(nowNanos);
    }

    private void updateLoad(DispatchEvent.LoadReported event, long nowNanos) {
        Optional<EngineView> engine = targets.engine(event.target());
        if (engine.isEmpty()) {
            return;
        }
        EngineView e = engine.get();
        if (e.report(event.report(), nowNanos)) {
            targets.rebuildPools();
            runAll(nowNanos);
            return;
        }
        for (ModelId m : e.models()) {
            targets.modelPool(m).ifPresent(ModelPool::updateRates);
        }
        runPoolsOf(e.models(), nowNanos);
    }

    private void updatePrefixes(DispatchEvent.CacheReported event) {
        if (targets.engine(event.target()).isPresent()) {
            prefixes.onEvents(event.target(), event.events());
        }
    }

    private void setReachable(DispatchEvent.ReachabilityChanged event, long nowNanos) {
        targets.get(event.target()).ifPresent(t -> t.setReachable(event.reachable()));
        unblockAll();
        runAll(nowNanos);
    }

    private void configure(DispatchEvent.Configured event, long nowNanos) {
        if (event.configuration().number() < configuration.number()) {
            return;
        }
        configuration = event.configuration();
        targets.configure(configuration);
        unblockAll();
        runAll(nowNanos);
    }

    private void updateZoneSummaries(DispatchEvent.ZonesSummarised event) {
        peerZones.update(event.zones());
        shares.update(peerZones.demand());
    }

    private void release(Grant grant, long unusedTokens, long nowNanos) {
        executor.release(grant, unusedTokens, nowNanos);
        switch (grant.request.work()) {
            case Work.ServiceCall c ->
                targets.servicePool(c.service()).ifPresent(p -> scheduler.run(p, configuration, nowNanos));
            case Work.Prompt p -> {
                Optional<EngineView> headEngine =
                        grant.targets.isEmpty() ? Optional.empty() : targets.engine(grant.targets.get(0));
                ImmutableSet<ModelId> models = headEngine
                        .filter(EngineView::isReported)
                        .map(EngineView::models)
                        .orElse(ImmutableSet.of(p.model()));
                runPoolsOf(models, nowNanos);
            }
        }
    }

    private void runPoolsOf(ImmutableSet<ModelId> models, long nowNanos) {
        for (ModelId m : models) {
            Optional<ModelPool> pool = targets.modelPool(m);
            if (pool.isPresent()) {
                pool.get().unblock();
                scheduler.run(pool.get(), configuration, nowNanos);
            }
        }
    }

    private void unblockAll() {
        targets.modelPools().forEach(ModelPool::unblock);
    }

    private void runAll(long nowNanos) {
        for (ModelPool p : targets.modelPools()) {
            p.unblock();
            scheduler.run(p, configuration, nowNanos);
        }
        for (ServicePool p : targets.servicePools()) {
            scheduler.run(p, configuration, nowNanos);
        }
    }
}
