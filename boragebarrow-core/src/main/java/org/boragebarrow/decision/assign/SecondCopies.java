package org.boragebarrow.decision.assign;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.boragebarrow.decision.duplicate.DuplicateLimit;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ServiceName;

/**
 * Decides at which target a second copy of a slow request runs, and refuses it unless that takes nothing from others.
 *
 * <p>A copy is never queued. It gets a target that is sound, of ordinary pace and at most half full, while nothing waits,
 * most of the service's slots are free and only few of its targets have late answers.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class SecondCopies {
    /** Fraction of slots in use, of a target or of the service, above which no copies are sent. */
    private static final double MAX_LOAD = 0.5;

    /** Fraction of the service's targets with late answers above which the targets are not the cause. */
    private static final double MAX_LATE_TARGETS = 0.25;

    /** Maximum predicted loss of other callers by a copy, in units of the value of a short prompt. */
    private static final double MAX_HARM = 0.05;

    /** Time after a crash in which no copies are sent, as they might crash more targets. */
    private static final long CRASH_PAUSE_NANOS = 10_000_000_000L;

    private final TargetPool pool;
    private final WaitingWork waiting;
    private final DuplicateLimit limit = new DuplicateLimit();
    private final Map<ServiceName, Long> crashedAt = new HashMap<>();

    SecondCopies(TargetPool pool, WaitingWork waiting) {
        this.pool = pool;
        this.waiting = waiting;
    }

    void setShare(double share) {
        limit.setShare(share);
    }

    boolean isEnabled() {
        return limit.isEnabled();
    }

    /** Records the request of the work, unless it was recorded before or no copy of it may be sent. */
    void onSubmitted(Work work, long now) {
        WorkTerms terms = work.terms();
        if (isEnabled() && terms.duplicable() && terms.purpose() == WorkTerms.Purpose.FIRST) {
            limit.onRequest(work.service(), terms.organisation(), now);
        }
    }

    /** Records that a target of the service crashed or cannot be reached. */
    void onCrash(ServiceName service, long now) {
        crashedAt.put(service, now);
    }

    void onOutcome(ServiceName service, Outcome outcome, long now) {
        if (outcome == Outcome.ABORTED || outcome == Outcome.UNREACHABLE) {
            onCrash(service, now);
        }
    }

    /** Returns where the copy runs, or the reason why it is not sent. */
    Decision decide(Work work, Optional<EngineProfile> profile, long now) {
        if (!isEnabled() || isScarce(work) || isCrashing(work.service(), now)) {
            return new Decision.Refused(RefusalReason.COPIES_PAUSED);
        }
        List<TargetLoad> serving = pool.permitted(work);
        if (areMostLate(serving, now)) {
            return new Decision.Refused(RefusalReason.COPIES_PAUSED);
        }
        List<TargetLoad> free = avoidLateZone(work, serving, freeCandidates(work, now), now);
        Optional<Assignment> assignment =
                profile.isPresent() ? place(work, profile.get(), free, now) : leastLoaded(work, free);
        if (assignment.isEmpty()) {
            return new Decision.Refused(RefusalReason.NO_TARGET);
        }
        return limit.tryAcquire(work.service(), work.terms().organisation(), now)
                ? new Decision.Placed(assignment.get())
                : new Decision.Refused(RefusalReason.COPIES_SPENT);
    }

    /** The decision on a copy. */
    sealed interface Decision {
        /** The copy runs. */
        record Placed(Assignment assignment) implements Decision {}

        /** The copy does not run. */
        record Refused(RefusalReason reason) implements Decision {}
    }

    private boolean isScarce(Work work) {
        if (!waiting.ranks(work.service()).isEmpty()) {
            return true;
        }
        int used = 0;
        int slots = 0;
        for (TargetLoad load : pool.permitted(work)) {
            used += load.ownedCount();
            slots += load.target().slots();
        }
        return used > MAX_LOAD * slots;
    }

    private boolean isCrashing(ServiceName service, long now) {
        Long last = crashedAt.get(service);
        return last != null && now - last < CRASH_PAUSE_NANOS;
    }

    private static boolean areMostLate(List<TargetLoad> serving, long now) {
        long late = serving.stream().filter(load -> load.hasLateAnswer(now)).count();
        return late > Math.max(1, MAX_LATE_TARGETS * serving.size());
    }

    private List<TargetLoad> freeCandidates(Work work, long now) {
        return pool.candidates(work, now).stream()
                .filter(load -> !pool.isCold(load, now))
                .filter(load -> !load.health().isEjected() && load.slowness() == 1 && !load.hasLateAnswer(now))
                .filter(load ->
                        load.ownedCount() + 1 <= MAX_LOAD * load.target().slots())
                .toList();
    }

    /** Omits the zone of the first copy if another of its targets is late, too, and other zones have free targets. */
    private static List<TargetLoad> avoidLateZone(
            Work work, List<TargetLoad> serving, List<TargetLoad> free, long now) {
        Optional<AvailabilityZoneId> zone = serving.stream()
                .filter(load -> work.excluded().contains(load.target().id()))
                .map(load -> load.target().zone())
                .findFirst();
        boolean isCause = zone.isPresent()
                && serving.stream()
                        .filter(load -> !work.excluded().contains(load.target().id()))
                        .anyMatch(load -> load.target().zone().equals(zone.get()) && load.hasLateAnswer(now));
        if (!isCause) {
            return free;
        }
        List<TargetLoad> elsewhere = free.stream()
                .filter(load -> !load.target().zone().equals(zone.get()))
                .toList();
        return elsewhere.isEmpty() ? free : elsewhere;
    }

    private static Optional<Assignment> leastLoaded(Work work, List<TargetLoad> free) {
        return LeastLoadedSelector.choose(work, free).map(load -> Assignment.of(load.target(), work.objective()));
    }

    /** Chooses engines only if the answer would be in time and delays nobody else's. */
    private static Optional<Assignment> place(Work work, EngineProfile profile, List<TargetLoad> free, long now) {
        PromptSize size = work.size().orElseGet(() -> new PromptSize(0, profile.meanAnswerTokens()));
        if (free.isEmpty() || size.totalTokens() > Placement.plannedCapacityTokens(profile) * free.size()) {
            return Optional.empty();
        }
        return new Placement(work, size, profile, free, now)
                .choose()
                .filter(choice -> !choice.tooLate() && choice.harm() <= MAX_HARM)
                .map(Placement.Choice::assignment);
    }
}
