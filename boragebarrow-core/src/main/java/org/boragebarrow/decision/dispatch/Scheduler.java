package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ErrorKind;

/** Grants queued requests of a pool while targets have capacity, serving the queue with the least slack first. */
final class Scheduler {
    // Answers may be shorter than expected, so a request is refused only if half of its expected decode time would
    // already exceed its deadline.
    private static final double CERTAIN_DECODE = 0.5;

    private final DispatchSettings settings;
    private final Placement placement;
    private final Admission admission;
    private final Queues queues;
    private final Outcomes outcomes;

    Scheduler(DispatchSettings settings, Placement placement, Admission admission, Queues queues, Outcomes outcomes) {
        this.settings = settings;
        this.placement = placement;
        this.admission = admission;
        this.queues = queues;
        this.outcomes = outcomes;
    }

    /** Grants queued prompts until no queue has one that fits. */
    void run(ModelPool pool, Configuration configuration, long nowNanos) {
        if (pool.isIdle()) {
            return;
        }
        pool.refreshHolds(nowNanos);
        pool.refreshOpenings(nowNanos);
        while (true) {
            int index = mostUrgent(pool, nowNanos);
            if (index < 0) {
                return;
            }
            if (serve(pool, index, configuration, nowNanos)) {
                pool.refreshOpenings(nowNanos);
            } else {
                pool.block(index);
            }
        }
    }

    /** Grants queued service calls while a target accepts them. */
    void run(ServicePool pool, Configuration configuration, long nowNanos) {
        while (true) {
            Optional<Queued> first = pool.queue.first();
            if (first.isEmpty()) {
                return;
            }
            Queued q = first.get();
            Optional<DispatchEffect> refusal = Admission.forbidden(q.request, configuration);
            if (refusal.isPresent()) {
                outcomes.refuse(q, refusal.get());
                continue;
            }
            Optional<ServiceView> target = pool.choose(q.request.excluded(), nowNanos);
            if (target.isEmpty()) {
                return;
            }
            outcomes.grant(q, target.get(), nowNanos);
        }
    }

    private static int mostUrgent(ModelPool pool, long nowNanos) {
        int best = -1;
        double leastSlack = Double.MAX_VALUE;
        for (int i = 0; i < ModelPool.QUEUES; i++) {
            if (pool.isBlocked(i)) {
                continue;
            }
            Optional<Queued> first = pool.queue(i).first();
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

    private static double slackSeconds(ModelPool pool, Queued queued, long nowNanos) {
        double remainingSeconds = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        return pool.engines().isEmpty()
                ? remainingSeconds
                : remainingSeconds - Forecast.serviceSeconds(pool, pool.engines().get(0), queued, 1);
    }

    private boolean serve(ModelPool pool, int index, Configuration configuration, long nowNanos) {
        FairQueue queue = pool.queue(index);
        ImmutableList<Queued> candidates = queue.candidates(settings.order().lookahead());
        for (Queued q : candidates) {
            if (tryOne(pool, index, q, configuration, nowNanos)) {
                return true;
            }
        }
        Queued first = candidates.get(0);
        boolean overdue = queue.overdue().isPresent();
        if (overdue && !hasCandidate(pool, first, nowNanos)) {
            // No engine that this request may use accepts new work, so later requests cannot take capacity from it.
            queue.defer(first);
            return true;
        }
        if (index == ModelPool.GANG_QUEUE || overdue || pool.isStarved(index)) {
            keepEngines(pool, index, first, nowNanos);
        }
        return false;
    }

    private boolean tryOne(ModelPool pool, int index, Queued queued, Configuration configuration, long nowNanos) {
        Optional<DispatchEffect> refusal = Admission.forbidden(queued.request, configuration);
        if (refusal.isEmpty()
                && !Admission.hasEngineFor(pool, queued)
                && !pool.engines().isEmpty()) {
            refusal = Admission.refused(
                    queued.request,
                    ErrorKind.NO_TARGET,
                    "all engines that serve the model are excluded for this request");
        }
        if (refusal.isPresent()) {
            outcomes.refuse(queued, refusal.get());
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
        Optional<Choice> choice = index == ModelPool.GANG_QUEUE
                ? Gangs.choose(pool, queued, nowNanos)
                : placement.choose(pool, queued, nowNanos);
        if (choice.isEmpty()) {
            return false;
        }
        if (settings.policy().isClassAware() && isLate(queued, choice.get(), nowNanos)) {
            refusal = Admission.refused(
                    queued.request, ErrorKind.DEADLINE_UNREACHABLE, "the request is predicted to miss its deadline");
            outcomes.refuse(queued, refusal.get());
            return true;
        }
        outcomes.grant(queued, choice.get(), nowNanos);
        return true;
    }

    private static boolean isLate(Queued queued, Choice choice, long nowNanos) {
        double remainingSeconds = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        double decodeSeconds = choice.finishSeconds() - choice.startSeconds();
        return choice.startSeconds() + CERTAIN_DECODE * decodeSeconds > remainingSeconds;
    }

    private static boolean hasCandidate(ModelPool pool, Queued queued, long nowNanos) {
        for (EngineView e : pool.engines()) {
            if (Placement.isCandidate(e, queued, nowNanos)) {
                return true;
            }
        }
        return false;
    }

    private void keepEngines(ModelPool pool, int index, Queued first, long nowNanos) {
        if (!settings.policy().isClassAware() || index == 0) {
            return;
        }
        if (pool.hold(index).filter(h -> h.queued() == first).isPresent()) {
            return;
        }
        boolean gang = index == ModelPool.GANG_QUEUE;
        boolean gangNeedsEngines = pool.isStarved(ModelPool.GANG_QUEUE)
                && pool.hold(ModelPool.GANG_QUEUE).isEmpty();
        if (!gang && gangNeedsEngines) {
            return;
        }
        Gangs.hold(pool, first, gang, nowNanos).ifPresent(h -> pool.setHold(index, h));
    }
}
