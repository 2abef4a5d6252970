package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether work that finds no target waits or is refused, and when a refused caller returns.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class AdmissionPolicy {
    /** Maximum queued work per slot of its service; more would wait longer than one answer takes. */
    private static final double MAX_QUEUED_PER_SLOT = 1.0;

    /** Minimum retry delay of a refused caller, given if its work would be too late. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(300);

    /** Default retry delay of a refused caller: about half the duration of an answer. */
    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(900);

    /** Retry delay of a refused caller whose targets operators have closed, which does not change soon. */
    static final Duration PROHIBITED_RETRY_DELAY = Duration.ofSeconds(2);

    private final TargetPool pool;
    private final WaitingWork waiting;

    AdmissionPolicy(TargetPool pool, WaitingWork waiting) {
        this.pool = pool;
        this.waiting = waiting;
    }

    /** Returns a refusal, or empty if the work should be queued for one of the candidates. */
    Optional<AssignEffect> queueOrRefuse(Work work, List<TargetLoad> candidates, boolean isNew) {
        int slots = 0;
        for (TargetLoad load : candidates) {
            slots += load.target().slots();
        }
        if (isNew && waiting.count(work.service()) >= slots * MAX_QUEUED_PER_SLOT) {
            return Optional.of(refuse(work, RefusalReason.OVERLOADED, DEFAULT_RETRY_DELAY));
        }
        if (isTooOld(work)) {
            return Optional.of(refuseTooLate(work));
        }
        return Optional.empty();
    }

    /** Queues work for a target that wants no requests of its host for now, unless that lasts for too long. */
    Optional<AssignEffect> decideWithoutCandidates(Work work, boolean isNew, long now) {
        List<TargetLoad> waitable = new ArrayList<>();
        Optional<Duration> earliest = Optional.empty();
        double patience = CostModel.abandonmentMillis(work) - work.age().toMillis();
        double longest = Math.min(patience, work.remaining().toMillis());
        for (TargetLoad load : pool.permitted(work)) {
            Duration quiet = pool.quietTime(work.id().owner().host(), load, now);
            boolean excluded = work.excluded().contains(load.target().id());
            if (!excluded && quiet.toMillis() < longest) {
                waitable.add(load);
            }
            if (!quiet.isZero()
                    && earliest.map(other -> quiet.compareTo(other) < 0).orElse(true)) {
                earliest = Optional.of(quiet);
            }
        }
        if (!waitable.isEmpty()) {
            return queueOrRefuse(work, waitable, isNew);
        }
        return Optional.of(earliest.map(retryAfter -> refuse(work, RefusalReason.QUIET, retryAfter))
                .orElseGet(() -> refuse(work, RefusalReason.NO_TARGET, DEFAULT_RETRY_DELAY)));
    }

    AssignEffect refuseTooLarge(Work work) {
        return refuse(work, RefusalReason.TOO_LARGE, DEFAULT_RETRY_DELAY);
    }

    AssignEffect refuseTooLate(Work work) {
        return refuse(work, RefusalReason.TOO_LATE, MIN_RETRY_DELAY);
    }

    static AssignEffect refuse(Work work, RefusalReason reason, Duration retryAfter) {
        return new AssignEffect.Refused(work.id(), reason, retryAfter);
    }

    /** Returns whether the caller has abandoned the work, or its limit has passed. */
    static boolean isTooOld(Work work) {
        boolean abandoned = work.age().toMillis() > CostModel.abandonmentMillis(work);
        return abandoned || work.remaining().isNegative() || work.remaining().isZero();
    }
}
