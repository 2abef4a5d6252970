package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ErrorKind;

/** Grants queued requests of a pool while targets have capacity, serving the queue with the least slack first. */
final class Scheduler {
    // Answers may be shorter than expected, so a request is refused only if half of its expected decode time would
    // already exceed its deadline.
    private static final double MIN_DECODE_FRACTION = 0.5;

    private final DispatchSettings settings;
    private final Placement placement;
    private final Admission admission;
    private final RequestQueues queues;
    private final DecisionExecutor executor;

    Scheduler(
            DispatchSettings settings,
            Placement placement,
            Admission admission,
            RequestQueues queues,
            DecisionExecutor executor) {
        this.settings = settings;
        this.placement = placement;
        this.admission = admission;
        this.queues = queues;
        this.executor = executor;
    }

    /** Grants queued prompts until no queue has one that fits. */
    void run(ModelPool pool, Configuration configuration, long nowNanos) {
        if (pool.isIdle()) {
            return;
        }
        pool.refreshReservations(nowNanos);
        pool.refreshOpenEngines(nowNanos);
        while (true) {
            int index = mostUrgentQueue(pool, nowNanos);
            if (index < 0) {
                return;
            }
            if (serveQueue(pool, index, configuration, nowNanos)) {
                pool.refreshOpenEngines(nowNanos);
            } else {
                pool.block(index);
            }
        }
    }

    /** Grants queued service calls while a target accepts them. */
    void run(ServicePool pool, Configuration configuration, long nowNanos) {
        while (true) {
            Optional<QueuedRequest> first = pool.queue.first();
            if (first.isEmpty()) {
                return;
            }
            QueuedRequest q = first.get();
            Optional<DispatchEffect> refusal = Admission.checkPlan(q.request, configuration);
            if (refusal.isPresent()) {
                executor.refuse(q, refusal.get());
                continue;
            }
            Optional<ServiceView> target = pool.choose(q.request.excluded(), nowNanos);
            if (target.isEmpty()) {
                return;
            }
            executor.grant(q, target.get(), nowNanos);
        }
    }

    private static int mostUrgentQueue(ModelPool pool, long nowNanos) {
        int best = -1;
        double leastSlack = Double.MAX_VALUE;
        for (int i = 0; i < ModelPool.QUEUE_COUNT; i++) {
            if (pool.isBlocked(i)) {
                continue;
            }
            Optional<QueuedRequest> first = pool.queue(i).first();
            if (first.isEmpty()) {
                continue;
            }
            double slack = slackSeconds(pool, first.get(), nowNanos);
            if (slack < leastSlack) {
                best = i;
                leastSlack = slack;
            }
        }
        return best;
    }

    private static double slackSeconds(ModelPool pool, QueuedRequest queued, long nowNanos) {
        double remainingSeconds = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        return pool.engines().isEmpty()
                ? remainingSeconds
                : remainingSeconds
                        - Forecast.serviceSeconds(pool, pool.engines().get(0), queued, 1);
    }

    private boolean serveQueue(ModelPool pool, int index, Configuration configuration, long nowNanos) {
        FairQueue queue = pool.queue(index);
        ImmutableList<QueuedRequest> candidates =
                queue.candidates(settings.order().lookahead());
        for (QueuedRequest q : candidates) {
            if (tryResolve(pool, index, q, configuration, nowNanos)) {
                return true;
            }
        }
        QueuedRequest first = candidates.get(0);
        boolean overdue = queue.overdue().isPresent();
        if (overdue && !hasCandidateEngine(pool, first, nowNanos)) {
            // No engine that this request may use accepts new work, so later requests cannot take capacity from it.
            queue.defer(first);
            return true;
        }
        if (index == ModelPool.GANG_QUEUE || overdue || pool.isStarved(index)) {
            reserveEngines(pool, index, first, nowNanos);
        }
        return false;
    }

    private boolean tryResolve(
            ModelPool pool, int index, QueuedRequest queued, Configuration configuration, long nowNanos) {
        Optional<DispatchEffect> refusal = Admission.checkPlan(queued.request, configuration);
        if (refusal.isEmpty()
                && !Admission.hasEngineFor(pool, queued)
                && !pool.engines().isEmpty()) {
            refusal = Admission.refused(
                    queued.request,
                    ErrorKind.NO_TARGET,
                    "all engines that serve the model are excluded for this request");
        }
        if (refusal.isPresent()) {
            executor.refuse(queued, refusal.get());
            return true;
        }
        int currentIndex = admission.queueIndex(pool, queued);
        if (currentIndex != index) {
            queues.remove(queued);
            queues.add(
                    queued,
                    pool,
                    currentIndex,
                    configuration
                            .allowanceOf(queued.request.organisation())
                            .orElseThrow()
                            .weight());
            return true;
        }
        Optional<PlacementDecision> decision = index == ModelPool.GANG_QUEUE
                ? Gangs.choose(pool, queued, nowNanos)
                : placement.choose(pool, queued, nowNanos);
        if (decision.isEmpty()) {
            return false;
        }
        if (settings.policy().isClassAware() && missesDeadline(queued, decision.get(), nowNanos)) {
            refusal = Admission.refused(
                    queued.request, ErrorKind.DEADLINE_UNREACHABLE, "the request is predicted to miss its deadline");
            executor.refuse(queued, refusal.get());
            return true;
        }
        executor.grant(queued, decision.get(), nowNanos);
        return true;
    }

    private static boolean missesDeadline(QueuedRequest queued, PlacementDecision decision, long nowNanos) {
        double remainingSeconds = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        double decodeSeconds = decision.finishSeconds() - decision.startSeconds();
        return decision.startSeconds() + MIN_DECODE_FRACTION * decodeSeconds > remainingSeconds;
    }

    private static boolean hasCandidateEngine(ModelPool pool, QueuedRequest queued, long nowNanos) {
        for (EngineView e : pool.engines()) {
            if (Placement.isCandidate(e, queued, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private void reserveEngines(ModelPool pool, int index, QueuedRequest first, long nowNanos) {
        if (!settings.policy().isClassAware() || index == 0) {
            return;
        }
        if (pool.reservation(index).filter(r -> r.queued() == first).isPresent()) {
            return;
        }
        boolean gang = index == ModelPool.GANG_QUEUE;
        boolean gangNeedsEngines = pool.isStarved(ModelPool.GANG_QUEUE)
                && pool.reservation(ModelPool.GANG_QUEUE).isEmpty();
        if (!gang && gangNeedsEngines) {
            return;
        }
        Gangs.reserve(pool, first, gang, nowNanos).ifPresent(r -> pool.setReservation(index, r));
    }
}
