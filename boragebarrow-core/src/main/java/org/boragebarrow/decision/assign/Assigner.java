package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.quarantine.CrashAttribution;
import org.boragebarrow.decision.quarantine.CrashVerdict;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Assigns work to targets, queues it while all targets are full, and refuses work that cannot be served.
 *
 * <p>Two assigners that are active at the same time cost efficiency only, not correctness: a host checks each
 * assignment against its own view of the fleet. Queued work is reconsidered whenever an attempt ends, the earliest
 * objective first; queued long prompts are reconsidered at intervals, as each weighs many targets.
 */
public final class Assigner implements Machine<AssignEvent, AssignEffect> {
    /** Maximum queued work per slot of its service; more would wait longer than one answer takes. */
    private static final double MAX_QUEUED_PER_SLOT = 1.0;

    /**
     * Fraction of the caller's abandonment time after which work precedes all other work, which prevents starvation.
     */
    private static final double URGENT_AGE_FRACTION = 0.6;

    /** Fraction of the objective up to which queued work can still be on time. */
    private static final double ON_TIME_AGE_FRACTION = 0.7;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Fraction of the published time of a prefill that it takes at least. */
    private static final double READING_MARGIN_FACTOR = 0.8;

    /** Minimum retry delay of a refused caller, given if its work would be too late. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(300);

    /** Default retry delay of a refused caller: about half the duration of an answer. */
    private static final Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(900);

    /** Time after its limit at which an attempt without an end event is treated as ended. */
    private static final Duration EXPIRY_GRACE = Duration.ofSeconds(1);

    private static final Duration EXPIRY_PERIOD = Duration.ofMillis(500);

    /**
     * Minimum interval between reviews of the queued long prompts, which weigh many targets each; a small fraction of
     * the time for which such a prompt waits.
     */
    private static final Duration LONG_REVIEW_INTERVAL = Duration.ofMillis(15);

    private final Map<TargetId, TargetLoad> loads = new LinkedHashMap<>();
    private final Map<AttemptId, ActiveAttempt> activeAttempts = new LinkedHashMap<>();
    private final ZoneReachability reachability = new ZoneReachability();
    private final QuietPairs quietPairs = new QuietPairs();
    private final CrashAttribution attribution = new CrashAttribution();
    private final Map<AttemptId, QueuedWork> queue = new LinkedHashMap<>();
    private final List<AssignEffect> expectedPauses = new ArrayList<>();
    private ImmutableMap<ServiceName, EngineProfile> profiles = ImmutableMap.of();
    private long lastExpiryAt;
    private Optional<Long> longReviewedAt = Optional.empty();

    /** The targets of an attempt, the answering one first in the list, and its expiry if no end event arrives. */
    private record ActiveAttempt(ImmutableList<TargetId> targets, long expiresAt) {}

    /**
     * Work in the queue.
     *
     * @param isLong whether its prompt waits for several targets instead of one
     */
    private record QueuedWork(Work work, long queuedAt, boolean isLong) {
        /** Returns the work with its age and remaining time as of {@code now}. */
        Work workAt(long now) {
            return work.withElapsed(Duration.ofNanos(now - queuedAt));
        }

        private double ageMillis(long now) {
            return work.age().toMillis() + (now - queuedAt) / NANOS_PER_MILLI;
        }

        /**
         * Returns the rank in the queue: 0 for work whose caller is about to abandon it, 1 for work that can still be
         * on time, 2 for work that is late in any case.
         */
        int rank(long now) {
            double age = ageMillis(now);
            if (age > CostModel.abandonmentMillis(work) * URGENT_AGE_FRACTION) {
                return 0;
            }
            return age < work.objective().toMillis() * ON_TIME_AGE_FRACTION ? 1 : 2;
        }

        /** Returns the time left until the objective; work with less slack comes first within a rank. */
        double slackMillis(long now) {
            return work.objective().toMillis() - ageMillis(now);
        }
    }

    @Override
    public ImmutableList<AssignEffect> apply(AssignEvent event, long now) {
        ImmutableList<AssignEffect> effects = handle(checkNotNull(event), now);
        if (expectedPauses.isEmpty()) {
            return effects;
        }
        ImmutableList<AssignEffect> all = ImmutableList.<AssignEffect>builder()
                .addAll(effects)
                .addAll(expectedPauses)
                .build();
        expectedPauses.clear();
        return all;
    }

    private ImmutableList<AssignEffect> handle(AssignEvent event, long now) {
        return switch (event) {
            case AssignEvent.Submitted submitted -> submit(submitted.work(), now);
            case AssignEvent.FirstEventSeen seen -> onFirstEvent(seen.id(), now);
            case AssignEvent.Ended ended -> end(ended, now);
            case AssignEvent.AssignmentReported reported -> restoreAssignment(reported, now);
            case AssignEvent.ConnectionRefused refused -> onConnectionRefused(refused.target(), now);
            case AssignEvent.QuietRequested quiet -> {
                quietPairs.report(quiet.host(), quiet.target(), quiet.time(), now);
                yield ImmutableList.of();
            }
            case AssignEvent.HostLost lost -> removeHost(lost.host(), now);
            case AssignEvent.FleetChanged changed -> updateTargets(changed.targets(), now);
            case AssignEvent.ProfilesChanged changed -> {
                profiles = changed.profiles();
                yield ImmutableList.of();
            }
            case AssignEvent.QuarantineChanged changed -> {
                attribution.setQuarantine(changed.quarantined(), changed.onProbation());
                yield assignQueued(now);
            }
            case AssignEvent.Ticked ignored -> assignQueued(now);
        };
    }

    /** Returns whether work is queued, so that {@link AssignEvent.Ticked} is needed. */
    public boolean hasQueuedWork() {
        return !queue.isEmpty();
    }

    /** Returns the number of attempts that have a target. */
    public int assignedCount() {
        return activeAttempts.size();
    }

    private ImmutableList<AssignEffect> submit(Work work, long now) {
        expireAttempts(now);
        advance(now);
        if (activeAttempts.containsKey(work.id())) {
            // The host sent the work to another assigner in the meantime and now submits it here again.
            release(work.id(), now);
        }
        Optional<AssignEffect> decided = decide(work, now, true);
        if (decided.isPresent()) {
            return ImmutableList.of(decided.get());
        }
        queue.put(work.id(), new QueuedWork(work, now, isLong(work)));
        return ImmutableList.of(new AssignEffect.Queued(work.id()));
    }

    /** Returns the decision, or empty if the work should be queued. */
    private Optional<AssignEffect> decide(Work work, long now, boolean isNew) {
        if (attribution.findQuarantined(work.service(), work.parts()).isPresent()) {
            return Optional.of(refuse(work, RefusalReason.QUARANTINED, Duration.ZERO));
        }
        if (work.crashes() > 0 && attribution.isSuspected(work.service(), work.parts(), now)) {
            return Optional.of(refuse(work, RefusalReason.SUSPECTED, Duration.ZERO));
        }
        List<TargetLoad> candidates = candidates(work, now);
        if (candidates.isEmpty()) {
            return decideWithoutCandidates(work, isNew, now);
        }
        Optional<EngineProfile> profile = profileOf(work);
        if (profile.isEmpty()) {
            return decideLeastLoaded(work, candidates, isNew, now);
        }
        PromptSize size = work.size().orElseGet(() -> defaultSize(profile.get()));
        if (size.totalTokens() > Placement.plannedCapacityTokens(profile.get()) * candidates.size()) {
            return Optional.of(refuse(work, RefusalReason.TOO_LARGE, DEFAULT_RETRY_DELAY));
        }
        Placement placement = new Placement(work, size, profile.get(), candidates, now);
        Optional<Placement.Choice> choice = choose(placement);
        if (choice.isEmpty() && placement.isLong() && placement.canWait()) {
            return Optional.empty();
        }
        if (choice.isEmpty()) {
            return queueOrRefuse(work, candidates, isNew);
        }
        if (choice.get().tooLate()) {
            return Optional.of(refuse(work, RefusalReason.TOO_LATE, MIN_RETRY_DELAY));
        }
        Assignment assignment = choice.get().assignment();
        recordAssignment(work, assignment.target().id(), assignment.helperRefs(), now);
        return Optional.of(new AssignEffect.Assigned(work.id(), assignment));
    }

    /** Queues work for a target that wants no requests of its host for now, unless that lasts for too long. */
    private Optional<AssignEffect> decideWithoutCandidates(Work work, boolean isNew, long now) {
        List<TargetLoad> waitable = new ArrayList<>();
        Optional<Duration> earliest = Optional.empty();
        double patience = CostModel.abandonmentMillis(work) - work.age().toMillis();
        double longest = Math.min(patience, work.remaining().toMillis());
        for (TargetLoad load : loads.values()) {
            if (!serves(load, work)) {
                continue;
            }
            Duration quiet = quietPairs.remaining(work.id().owner().host(), load.target(), now);
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

    private static boolean serves(TargetLoad load, Work work) {
        FleetTarget target = load.target();
        return !target.draining() && target.service().equals(work.service());
    }

    /**
     * A long prompt uses targets with little prefill backlog, waits for them as long as it can, and then uses any
     * target.
     */
    private static Optional<Placement.Choice> choose(Placement placement) {
        if (!placement.isLong()) {
            return placement.best();
        }
        Optional<Placement.Choice> ready = placement.bestAmongReady();
        boolean waits = placement.canWait();
        boolean harmful = ready.map(placement::isHarmful).orElse(false);
        if (ready.isPresent() && (placement.isOnTime(ready.get()) || placement.allCanHelp()) && !(waits && harmful)) {
            return ready;
        }
        return waits ? Optional.empty() : placement.best();
    }

    private Optional<AssignEffect> decideLeastLoaded(Work work, List<TargetLoad> candidates, boolean isNew, long now) {
        Optional<TargetLoad> target = LeastLoadedSelector.choose(work, candidates);
        if (target.isEmpty()) {
            return queueOrRefuse(work, candidates, isNew);
        }
        recordAssignment(work, target.get().target().id(), ImmutableList.of(), now);
        Assignment assignment = Assignment.of(target.get().target(), work.objective());
        return Optional.of(new AssignEffect.Assigned(work.id(), assignment));
    }

    private Optional<AssignEffect> queueOrRefuse(Work work, List<TargetLoad> candidates, boolean isNew) {
        int slots = 0;
        for (TargetLoad load : candidates) {
            slots += load.target().slots();
        }
        long queued = queue.values().stream()
                .filter(other -> other.work().service().equals(work.service()))
                .count();
        if (isNew && queued >= slots * MAX_QUEUED_PER_SLOT) {
            return Optional.of(refuse(work, RefusalReason.OVERLOADED, DEFAULT_RETRY_DELAY));
        }
        if (isTooOld(work)) {
            return Optional.of(refuse(work, RefusalReason.TOO_LATE, MIN_RETRY_DELAY));
        }
        return Optional.empty();
    }

    private static AssignEffect refuse(Work work, RefusalReason reason, Duration retryAfter) {
        return new AssignEffect.Refused(work.id(), reason, retryAfter);
    }

    private static PromptSize defaultSize(EngineProfile profile) {
        return new PromptSize(0, profile.meanAnswerTokens());
    }

    private boolean isLong(Work work) {
        return profileOf(work)
                .map(profile -> Placement.isLong(profile, work.size().orElseGet(() -> defaultSize(profile))))
                .orElse(false);
    }

    /** Returns the shortest time in which engines can read a prompt, even if they are somewhat faster than published. */
    private static Duration shortestReading(Work work, EngineProfile profile, int engines) {
        long tokens = work.size().map(PromptSize::promptTokens).orElse(0L);
        double millis = READING_MARGIN_FACTOR * profile.shortestPrefillMillis(tokens, engines);
        return Duration.ofNanos((long) (millis * NANOS_PER_MILLI));
    }

    private Optional<EngineProfile> profileOf(Work work) {
        return Optional.ofNullable(profiles.get(work.service()));
    }

    /** Returns the targets that can be assigned the work; ejected or unreachable ones only if there are no others. */
    private List<TargetLoad> candidates(Work work, long now) {
        List<TargetLoad> healthy = new ArrayList<>();
        List<TargetLoad> unhealthy = new ArrayList<>();
        for (TargetLoad load : loads.values()) {
            FleetTarget target = load.target();
            boolean fits = serves(load, work)
                    && !work.excluded().contains(target.id())
                    && quietPairs.allows(work.id().owner().host(), load, now);
            if (!fits) {
                continue;
            }
            boolean reachable = reachability.allows(work.zone(), target.zone(), now);
            (reachable && load.health().allows(now, load.ownedCount()) ? healthy : unhealthy).add(load);
        }
        return healthy.isEmpty() ? unhealthy : healthy;
    }

    private void recordAssignment(Work work, TargetId target, ImmutableList<HelperTarget.Ref> helpers, long now) {
        Optional<EngineProfile> profile = profileOf(work);
        ImmutableList.Builder<TargetId> all = ImmutableList.builder();
        TargetLoad owner = loads.get(target);
        if (owner != null) {
            reachability.onSent(work.zone(), owner.target().zone(), now);
            owner.add(AttemptPart.forOwner(work, helpers, profile, now));
            profile.ifPresent(engine -> announcePauses(owner, work.id(), engine));
            Duration reading = profile.map(engine -> shortestReading(work, engine, 1 + helpers.size()))
                    .orElse(Duration.ZERO);
            attribution.begin(
                    work.id(), work.service(), work.parts(), owner.target().incarnation(), reading, now);
            all.add(target);
        }
        for (HelperTarget.Ref helper : helpers) {
            TargetLoad load = loads.get(helper.target());
            if (load != null) {
                load.add(AttemptPart.forHelper(work, helper, helpers.size(), profile, now));
                profile.ifPresent(engine -> announcePauses(load, work.id(), engine));
                all.add(helper.target());
            }
        }
        long expiresAt = now + work.remaining().plus(EXPIRY_GRACE).toNanos();
        activeAttempts.put(work.id(), new ActiveAttempt(all.build(), expiresAt));
    }

    /**
     * Tells the hosts of the other requests that a target answers about a pass that is longer than the pauses of their
     * answers should be, so that they do not take the target for unresponsive.
     */
    private void announcePauses(TargetLoad load, AttemptId added, EngineProfile profile) {
        double pass = profile.decodePassMillis() + load.passPrefillMillis(profile, 0, 0);
        for (AttemptPart part : load.parts()) {
            Optional<Duration> objective = part.work().pauseObjective();
            boolean concerned = !part.isHelper() && !part.work().id().equals(added) && objective.isPresent();
            if (concerned && pass > objective.get().toMillis() && pass > part.announcedPauseMillis()) {
                part.setAnnouncedPauseMillis(pass);
                expectedPauses.add(
                        new AssignEffect.PauseExpected(part.work().id(), Duration.ofMillis(Math.round(pass))));
            }
        }
    }

    private ImmutableList<AssignEffect> onFirstEvent(AttemptId id, long now) {
        advance(now);
        attribution.recordFirstEvent(id, now);
        ActiveAttempt attempt = activeAttempts.get(id);
        if (attempt == null) {
            return ImmutableList.of();
        }
        for (TargetId target : attempt.targets()) {
            TargetLoad load = loads.get(target);
            if (load == null) {
                continue;
            }
            load.onPrefilled(id);
        }
        return assignQueued(now);
    }

    private ImmutableList<AssignEffect> end(AssignEvent.Ended ended, long now) {
        if (queue.remove(ended.id()) != null) {
            return ImmutableList.of();
        }
        ActiveAttempt attempt = activeAttempts.remove(ended.id());
        if (attempt == null) {
            return ImmutableList.of();
        }
        advance(now);
        for (TargetId target : attempt.targets()) {
            TargetLoad load = loads.get(target);
            if (load == null) {
                continue;
            }
            Optional<AttemptPart> part = load.remove(ended.id()).filter(removed -> !removed.isHelper());
            if (part.isPresent()) {
                load.health().record(ended.outcome(), now);
                reachability.record(part.get().work().zone(), load.target().zone(), ended.outcome(), now);
            }
        }
        return ImmutableList.<AssignEffect>builder()
                .addAll(toEffects(attribution.end(ended.id(), toEnd(ended.outcome()), now)))
                .addAll(assignQueued(now))
                .build();
    }

    private static CrashAttribution.End toEnd(Outcome outcome) {
        return switch (outcome) {
            case SUCCEEDED -> CrashAttribution.End.ANSWERED;
            case ABORTED -> CrashAttribution.End.DISCONNECTED;
            case UNREACHABLE, REPLACED -> CrashAttribution.End.UNREACHABLE;
            case REFUSED, FAILED, SILENT, WITHDRAWN -> CrashAttribution.End.OTHER;
        };
    }

    private ImmutableList<AssignEffect> restoreAssignment(AssignEvent.AssignmentReported reported, long now) {
        queue.remove(reported.work().id());
        if (activeAttempts.containsKey(reported.work().id())) {
            return ImmutableList.of();
        }
        advance(now);
        recordAssignment(reported.work(), reported.target(), reported.helpers(), now);
        if (reported.firstEventSeen()) {
            onFirstEvent(reported.work().id(), now);
        }
        return ImmutableList.of();
    }

    private ImmutableList<AssignEffect> removeHost(HostId host, long now) {
        quietPairs.removeHost(host);
        queue.keySet().removeIf(id -> id.owner().host().equals(host));
        advance(now);
        for (AttemptId id : ImmutableList.copyOf(activeAttempts.keySet())) {
            if (!id.owner().host().equals(host)) {
                continue;
            }
            release(id, now);
        }
        return assignQueued(now);
    }

    private void release(AttemptId id, long now) {
        attribution.forget(id, now);
        for (TargetId target : activeAttempts.remove(id).targets()) {
            Optional.ofNullable(loads.get(target)).ifPresent(load -> load.remove(id));
        }
    }

    /** Removes attempts whose end event was lost. */
    private void expireAttempts(long now) {
        if (now - lastExpiryAt < EXPIRY_PERIOD.toNanos()) {
            return;
        }
        lastExpiryAt = now;
        for (Map.Entry<AttemptId, ActiveAttempt> entry : ImmutableList.copyOf(activeAttempts.entrySet())) {
            if (now - entry.getValue().expiresAt() > 0) {
                release(entry.getKey(), now);
            }
        }
    }

    private ImmutableList<AssignEffect> updateTargets(ImmutableList<FleetTarget> targets, long now) {
        advance(now);
        Map<TargetId, FleetTarget> present = new HashMap<>();
        targets.forEach(target -> present.put(target.id(), target));
        ImmutableList<AssignEffect> conclusions = concludeFromEntries(present, now);
        loads.keySet().removeIf(id -> !present.containsKey(id));
        for (FleetTarget target : targets) {
            TargetLoad known = loads.get(target.id());
            if (known != null && known.target().isSameIncarnation(target)) {
                known.update(target);
            } else {
                loads.put(target.id(), new TargetLoad(target, now));
            }
        }
        attribution.setTargetCounts(countByService());
        return ImmutableList.<AssignEffect>builder()
                .addAll(conclusions)
                .addAll(assignQueued(now))
                .build();
    }

    /** Tells the attribution of the targets whose entries ended although they were not draining. */
    private ImmutableList<AssignEffect> concludeFromEntries(Map<TargetId, FleetTarget> present, long now) {
        ImmutableList.Builder<AssignEffect> effects = ImmutableList.builder();
        for (TargetLoad load : loads.values()) {
            FleetTarget known = load.target();
            FleetTarget entry = present.get(known.id());
            if (!known.draining() && (entry == null || !known.isSameIncarnation(entry))) {
                effects.addAll(toEffects(attribution.recordEntryEnded(known.incarnation(), now)));
            }
        }
        return effects.build();
    }

    private static ImmutableList<AssignEffect> toEffects(ImmutableList<CrashVerdict> verdicts) {
        return verdicts.stream().map(AssignEffect.Concluded::new).collect(ImmutableList.toImmutableList());
    }

    private ImmutableMap<ServiceName, Integer> countByService() {
        Map<ServiceName, Integer> counts = new HashMap<>();
        loads.values().forEach(load -> counts.merge(load.target().service(), 1, Integer::sum));
        return ImmutableMap.copyOf(counts);
    }

    /** Handles the report that a target refused a connection after others to it had ended. */
    private ImmutableList<AssignEffect> onConnectionRefused(TargetIncarnation target, long now) {
        TargetLoad load = loads.get(target.id());
        if (load != null && load.target().incarnation().equals(target)) {
            load.health().record(Outcome.UNREACHABLE, now);
        }
        return toEffects(attribution.recordRefusedConnection(target, now));
    }

    private ImmutableList<AssignEffect> assignQueued(long now) {
        if (queue.isEmpty()) {
            return ImmutableList.of();
        }
        advance(now);
        boolean reviewsLong = longReviewedAt
                .map(last -> now - last >= LONG_REVIEW_INTERVAL.toNanos())
                .orElse(true);
        if (reviewsLong) {
            longReviewedAt = Optional.of(now);
        }
        List<QueuedWork> order = new ArrayList<>(queue.size());
        for (QueuedWork work : queue.values()) {
            if (reviewsLong || !work.isLong()) {
                order.add(work);
            }
        }
        order.sort(Comparator.comparingInt((QueuedWork work) -> work.rank(now))
                .thenComparingDouble(work -> work.slackMillis(now)));
        ImmutableList.Builder<AssignEffect> effects = ImmutableList.builder();
        Map<CandidateGroup, Long> smallestUnplaced = new HashMap<>();
        for (QueuedWork queued : order) {
            Work work = queued.workAt(now);
            HostId host = work.id().owner().host();
            CandidateGroup group = new CandidateGroup(
                    work.service(), work.zone(), quietPairs.concerns(host) ? Optional.of(host) : Optional.empty());
            long tokens = work.size().map(PromptSize::totalTokens).orElse(0L);
            boolean fitsNowhere = tokens >= smallestUnplaced.getOrDefault(group, Long.MAX_VALUE);
            if (fitsNowhere && !queued.isLong() && !mustDecide(work)) {
                continue;
            }
            Optional<AssignEffect> decided = decide(work, now, false);
            if (decided.isPresent()) {
                queue.remove(work.id());
                effects.add(decided.get());
            } else if (!queued.isLong() && work.excluded().isEmpty()) {
                smallestUnplaced.merge(group, tokens, Math::min);
            }
        }
        return effects.build();
    }

    /**
     * Work with the same candidates, apart from those that an earlier attempt excluded.
     *
     * @param host the work's host, if some targets may want no requests of it
     */
    private record CandidateGroup(ServiceName service, AvailabilityZoneId zone, Optional<HostId> host) {}

    /** Returns whether queued work is decided although no candidate has capacity: it is refused. */
    private boolean mustDecide(Work work) {
        return isTooOld(work)
                || attribution.findQuarantined(work.service(), work.parts()).isPresent();
    }

    private static boolean isTooOld(Work work) {
        boolean abandoned = work.age().toMillis() > CostModel.abandonmentMillis(work);
        return abandoned || work.remaining().isNegative() || work.remaining().isZero();
    }

    private void advance(long now) {
        for (TargetLoad load : loads.values()) {
            if (load.isIdle()) {
                load.skipTo(now);
                continue;
            }
            load.advance(now, Optional.ofNullable(profiles.get(load.target().service())));
        }
    }
}
