package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.ErrorKind;

/** Serves the queues of a pool as long as something fits: least slack first between the classes. */
final class Scheduler {
    // Answers may turn out shorter than expected, so a grant is given up only where half of it would be late.
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

    /** Grants what fits. */
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

    /** Grants calls of a service as long as a target takes them. */
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
        double least = Double.MAX_VALUE;
        for (int i = 0; i < ModelPool.QUEUES; i++) {
            if (pool.isBlocked(i)) {
                continue;
            }
            Optional<Queued> first = pool.queue(i).first();
            if (first.isEmpty()) {
                continue;
            }
            double slack = slackSeconds(pool, first.get(), nowNanos);
            if (slack < least) {
                best = i;
                least = slack;
            }
        }
        return best;
    }

    private static double slackSeconds(ModelPool pool, Queued queued, long nowNanos) {
        double left = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        return pool.engines().isEmpty()
                ? left
                : left - Forecast.serviceSeconds(pool, pool.engines().get(0), queued, 1);
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
            // Nothing that it may use takes new work, so that nobody behind it takes its place.
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
            refusal = Admission.refused(queued.request, ErrorKind.NO_TARGET, "no engine is left for the request");
        }
        if (refusal.isPresent()) {
            outcomes.refuse(queued, refusal.get());
            return true;
        }
        int wanted = admission.queueIndex(pool, queued);
        if (wanted != index) {
            queues.remove(queued);
            queues.add(
                    queued,
                    pool,
                    wanted,
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
                    queued.request, ErrorKind.DEADLINE_UNREACHABLE, "too little of the time limit is left");
            outcomes.refuse(queued, refusal.get());
            return true;
        }
        outcomes.grant(queued, choice.get(), nowNanos);
        return true;
    }

    private static boolean isLate(Queued queued, Choice choice, long nowNanos) {
        double left = (queued.request.deadlineNanos() - nowNanos) / 1e9;
        double decode = choice.finishSeconds() - choice.startSeconds();
        return choice.startSeconds() + CERTAIN_DECODE * decode > left;
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
        boolean gangWaits = pool.isStarved(ModelPool.GANG_QUEUE)
                && pool.hold(ModelPool.GANG_QUEUE).isEmpty();
        if (!gang && gangWaits) {
            return;
        }
        Gangs.hold(pool, first, gang, nowNanos).ifPresent(h -> pool.setHold(index, h));
    }
}
