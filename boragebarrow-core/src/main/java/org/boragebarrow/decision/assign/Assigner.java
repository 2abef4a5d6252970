package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.quarantine.CrashAttribution;
import org.boragebarrow.decision.quarantine.CrashVerdict;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.decision.urgency.Standing;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Assigns work to targets, queues it while all targets are full, and refuses work that cannot be served.
 *
 * <p>Two assigners that are active at the same time cost efficiency only, not correctness: a host checks each
 * assignment against its own view of the fleet. Queued work is reconsidered whenever an attempt ends, in the order of its
 * {@link Standing}; queued long prompts are reconsidered at intervals, as each weighs many targets.
 */
public final class Assigner implements Machine<AssignEvent, AssignEffect> {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Fraction of the published time of a prefill that it takes at least. */
    private static final double READING_MARGIN_FACTOR = 0.8;

    /** Minimum interval between reviews of the queue for work that newcomers displace; a review reads all of it. */
    private static final Duration REVIEW_INTERVAL = Duration.ofMillis(10);

    private final TargetPool pool = new TargetPool();
    private final ActiveAttempts activeAttempts = new ActiveAttempts();
    private final ServiceRooms rooms = new ServiceRooms();
    private final WaitingWork waiting = new WaitingWork(rooms);
    private final CrashAttribution attribution = new CrashAttribution();
    private final AnswerTimes answerTimes = new AnswerTimes();
    private final SecondCopies copies = new SecondCopies(pool, waiting);
    private final AdmissionPolicy admission = new AdmissionPolicy(pool, waiting, rooms);
    private final UrgentRoom urgentRoom = new UrgentRoom(rooms);
    private final List<AssignEffect> expectedPauses = new ArrayList<>();
    private ImmutableMap<ServiceName, EngineProfile> profiles = ImmutableMap.of();
    private Optional<Long> reviewedAt = Optional.empty();

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
                pool.recordQuiet(quiet.host(), quiet.target(), quiet.time(), now);
                yield ImmutableList.of();
            }
            case AssignEvent.HostLost lost -> removeHost(lost.host(), now);
            case AssignEvent.FleetChanged changed -> updateTargets(changed.targets(), now);
            case AssignEvent.ProfilesChanged changed -> {
                profiles = changed.profiles();
                admission.setProfiles(profiles);
                yield ImmutableList.of();
            }
            case AssignEvent.QuarantineChanged changed -> {
                attribution.setQuarantine(changed.quarantined(), changed.onProbation());
                yield assignQueued(now);
            }
            case AssignEvent.PermissionsChanged changed -> {
                pool.apply(changed, now);
                yield assignQueued(now);
            }
            case AssignEvent.DuplicateShareChanged changed -> {
                copies.setShare(changed.share());
                yield ImmutableList.of();
            }
            case AssignEvent.Ticked ignored -> onTick(now);
        };
    }

    /** Returns whether work is queued, so that {@link AssignEvent.Ticked} is needed. */
    public boolean hasQueuedWork() {
        return !waiting.isEmpty();
    }

    /** Returns the number of attempts that wait for a target. */
    public int queuedCount() {
        return waiting.size();
    }

    /** Returns the number of attempts that have a target. */
    public int assignedCount() {
        return activeAttempts.size();
    }

    /** Returns the targets that take clearly longer than usual. */
    public ImmutableMap<TargetId, Double> slowTargets() {
        return pool.slowTargets();
    }

    private ImmutableList<AssignEffect> submit(Work work, long now) {
        activeAttempts.expired(now).forEach(expired -> release(expired, now));
        pool.advance(profiles, now);
        if (activeAttempts.contains(work.id())) {
            // The host sent the work to another assigner in the meantime and now submits it here again.
            release(work.id(), now);
        }
        if (work.terms().purpose() == WorkTerms.Purpose.DUPLICATE) {
            return ImmutableList.of(decideCopy(work, now));
        }
        copies.onSubmitted(work, now);
        rooms.advance(now);
        boolean returning = rooms.of(work.service()).onArrived(work, now);
        QueuedWork newcomer = new QueuedWork(work, now, isLong(work), returning);
        Optional<AssignEffect> decided = decide(newcomer, now, true);
        if (decided.isPresent()) {
            return ImmutableList.of(decided.get());
        }
        waiting.add(newcomer, now);
        ImmutableList.Builder<AssignEffect> effects = ImmutableList.builder();
        effects.add(new AssignEffect.Queued(work.id()));
        boolean reviews =
                reviewedAt.map(last -> now - last >= REVIEW_INTERVAL.toNanos()).orElse(true);
        if (reviews) {
            reviewedAt = Optional.of(now);
            effects.addAll(removeHopeless(work.service(), RefusalReason.DISPLACED, now));
        }
        return effects.build();
    }

    private List<AssignEffect.Refused> removeHopeless(ServiceName service, RefusalReason reason, long now) {
        List<AssignEffect.Refused> refused = admission.refuseHopeless(service, reason, now);
        refused.forEach(effect -> waiting.remove(effect.id()));
        return refused;
    }

    private ImmutableList<AssignEffect> onTick(long now) {
        ImmutableList.Builder<AssignEffect> effects = ImmutableList.builder();
        effects.addAll(assignQueued(now));
        for (ServiceName service : waiting.services()) {
            effects.addAll(removeHopeless(service, RefusalReason.OVERLOADED, now));
        }
        return effects.build();
    }

    /** Returns the decision, or empty if the work should be queued. */
    private Optional<AssignEffect> decide(QueuedWork queued, long now, boolean isNew) {
        Work work = queued.workAt(now);
        if (attribution.findQuarantined(work.service(), work.parts()).isPresent()) {
            return Optional.of(new AssignEffect.Refused(work.id(), RefusalReason.QUARANTINED, Duration.ZERO));
        }
        if (work.crashes() > 0 && attribution.isSuspected(work.service(), work.parts(), now)) {
            return Optional.of(new AssignEffect.Refused(work.id(), RefusalReason.SUSPECTED, Duration.ZERO));
        }
        List<TargetLoad> candidates = pool.candidates(work, now);
        if (candidates.isEmpty()) {
            Optional<RefusalReason> prohibition = pool.prohibition(work);
            if (prohibition.isPresent()) {
                return Optional.of(
                        new AssignEffect.Refused(work.id(), prohibition.get(), AdmissionPolicy.PROHIBITED_RETRY_DELAY));
            }
            return admission.decideWithoutCandidates(queued, isNew, now);
        }
        Optional<EngineProfile> profile = profileOf(work);
        return profile.isEmpty()
                ? decideLeastLoaded(queued, candidates, isNew, now)
                : decidePrompt(queued, profile.get(), candidates, isNew, now);
    }

    /** Decides on a second copy, which is refused rather than queued. */
    private AssignEffect decideCopy(Work work, long now) {
        if (attribution.findQuarantined(work.service(), work.parts()).isPresent()) {
            return new AssignEffect.Refused(work.id(), RefusalReason.QUARANTINED, Duration.ZERO);
        }
        if (attribution.isSuspected(work.service(), work.parts(), now)) {
            return new AssignEffect.Refused(work.id(), RefusalReason.SUSPECTED, Duration.ZERO);
        }
        if (urgentRoom.isNeeded(work, profileOf(work), pool.candidates(work, now), now)) {
            return new AssignEffect.Refused(work.id(), RefusalReason.COPIES_PAUSED, Duration.ZERO);
        }
        return switch (copies.decide(work, profileOf(work), now)) {
            case SecondCopies.Decision.Refused refused ->
                new AssignEffect.Refused(work.id(), refused.reason(), Duration.ZERO);
            case SecondCopies.Decision.Placed placed -> assign(work, placed.assignment(), now);
        };
    }

    /** Records the assignment and returns it with the time after which its answer is late, if a copy may be sent then. */
    private AssignEffect assign(Work work, Assignment assignment, long now) {
        pool.recordDealt(assignment, now);
        rooms.of(work.service()).onServed(work, waiting.ranks(work.service()));
        recordAssignment(work, assignment.target().id(), assignment.helperRefs(), Optional.of(now), now);
        Optional<Duration> lateAfter = copies.isEnabled()
                ? answerTimes.lateAfter(work, profileOf(work).isPresent(), assignment.predictedTimeToFirstEvent(), now)
                : Optional.empty();
        pool.find(assignment.target().id())
                .flatMap(load -> load.find(work.id()))
                .ifPresent(part -> part.expectAnswer(assignment.predictedTimeToFirstEvent(), lateAfter));
        boolean duplicable = work.terms().duplicable() && work.terms().purpose() == WorkTerms.Purpose.FIRST;
        return new AssignEffect.Assigned(work.id(), duplicable ? assignment.withLateAfter(lateAfter) : assignment);
    }

    private Optional<AssignEffect> decidePrompt(
            QueuedWork queued, EngineProfile profile, List<TargetLoad> candidates, boolean isNew, long now) {
        Work work = queued.workAt(now);
        PromptSize size = work.size().orElseGet(() -> defaultSize(profile));
        int usable = candidates.size() + pool.countPaced(work, now);
        if (size.totalTokens() > Placement.plannedCapacityTokens(profile) * usable) {
            return Optional.of(admission.refuseTooLarge(work, now));
        }
        Placement placement = new Placement(work, size, profile, candidates, now);
        boolean waitsForSeveral = placement.isLong() && placement.canWait();
        boolean leavesSlot = !placement.isLong() && urgentRoom.isNeeded(work, Optional.of(profile), candidates, now);
        Optional<Placement.Choice> choice = leavesSlot ? Optional.empty() : placement.choose();
        if (choice.isPresent() && placement.isLong()) {
            choice = leaveEngines(choice.get(), work, size, profile, candidates, now);
        }
        if (choice.isEmpty()) {
            return waitsForSeveral && !isNew
                    ? Optional.empty()
                    : admission.queueOrRefuse(queued, candidates, isNew, now);
        }
        if (choice.get().tooLate()) {
            return Optional.of(admission.refuseTooLate(work, now));
        }
        return Optional.of(assign(work, choice.get().assignment(), now));
    }

    /** Returns another choice if the given one takes engines that more urgent work needs; empty if there is none yet. */
    private Optional<Placement.Choice> leaveEngines(
            Placement.Choice choice,
            Work work,
            PromptSize size,
            EngineProfile profile,
            List<TargetLoad> candidates,
            long now) {
        Set<TargetLoad> left = urgentRoom.engines(work, profile, candidates, choice.assignment(), now);
        List<TargetLoad> others =
                candidates.stream().filter(load -> !left.contains(load)).toList();
        boolean fits = size.totalTokens() <= Placement.plannedCapacityTokens(profile) * others.size();
        return left.isEmpty() || !fits ? Optional.of(choice) : new Placement(work, size, profile, others, now).choose();
    }

    private Optional<AssignEffect> decideLeastLoaded(
            QueuedWork queued, List<TargetLoad> candidates, boolean isNew, long now) {
        Work work = queued.workAt(now);
        Optional<TargetLoad> target = LeastLoadedSelector.choose(work, candidates);
        if (target.isEmpty() || urgentRoom.isNeeded(work, Optional.empty(), candidates, now)) {
            return admission.queueOrRefuse(queued, candidates, isNew, now);
        }
        return Optional.of(assign(work, Assignment.of(target.get().target(), work.objective()), now));
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

    /** Records an assignment; {@code assignedAt} is empty if another assigner made it. */
    private void recordAssignment(
            Work work, TargetId target, ImmutableList<HelperTarget.Ref> helpers, Optional<Long> assignedAt, long now) {
        Optional<EngineProfile> profile = profileOf(work);
        ImmutableList.Builder<TargetId> all = ImmutableList.builder();
        Optional<TargetLoad> owner = pool.find(target);
        if (owner.isPresent()) {
            pool.onSent(work, owner.get(), now);
            owner.get().add(AttemptPart.forOwner(work, helpers, profile, now));
            profile.ifPresent(engine -> onPrefillAdded(owner.get(), work.id(), engine));
            Duration reading = profile.map(engine -> shortestReading(work, engine, 1 + helpers.size()))
                    .orElse(Duration.ZERO);
            attribution.begin(
                    work.id(),
                    work.service(),
                    work.parts(),
                    owner.get().target().incarnation(),
                    reading,
                    now);
            all.add(target);
        }
        for (HelperTarget.Ref helper : helpers) {
            Optional<TargetLoad> load = pool.find(helper.target());
            if (load.isPresent()) {
                load.get().add(AttemptPart.forHelper(work, helper, helpers.size(), profile, now));
                profile.ifPresent(engine -> onPrefillAdded(load.get(), work.id(), engine));
                all.add(helper.target());
            }
        }
        activeAttempts.add(work, all.build(), assignedAt, now);
        rooms.of(work.service()).onAssigned(work, admission.targetMillis(work), now);
    }

    private void onPrefillAdded(TargetLoad load, AttemptId added, EngineProfile profile) {
        AnswerTimes.onPrefillAdded(load, profile);
        announcePauses(load, added, profile);
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
        pool.advance(profiles, now);
        attribution.recordFirstEvent(id, now);
        Optional<ImmutableList<TargetId>> targets = activeAttempts.targets(id);
        if (targets.isEmpty()) {
            return ImmutableList.of();
        }
        pool.find(targets.get().get(0)).ifPresent(owner -> answerTimes.onFirstEvent(owner, id, profiles, now));
        pool.find(targets.get()).forEach(load -> load.onPrefilled(id));
        return assignQueued(now);
    }

    private ImmutableList<AssignEffect> end(AssignEvent.Ended ended, long now) {
        if (waiting.remove(ended.id())) {
            return ImmutableList.of();
        }
        Optional<ActiveAttempts.ActiveAttempt> attempt = activeAttempts.remove(ended.id());
        if (attempt.isEmpty()) {
            return ImmutableList.of();
        }
        pool.advance(profiles, now);
        rooms.of(attempt.get().work().service()).onEnded(attempt.get(), ended.outcome(), now);
        for (TargetLoad load : pool.find(attempt.get().targets())) {
            load.remove(ended.id()).filter(part -> !part.isHelper()).ifPresent(part -> {
                pool.recordOutcome(part.work(), load, ended.outcome(), now);
                copies.onOutcome(part.work().service(), ended.outcome(), now);
                answerTimes.onEnd(load, part, ended.outcome(), profiles, now);
            });
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
        waiting.remove(reported.work().id());
        if (activeAttempts.contains(reported.work().id())) {
            return ImmutableList.of();
        }
        pool.advance(profiles, now);
        recordAssignment(reported.work(), reported.target(), reported.helpers(), Optional.empty(), now);
        pool.find(reported.target())
                .flatMap(load -> load.find(reported.work().id()))
                .ifPresent(AttemptPart::setAssignedEarlier);
        if (reported.firstEventSeen()) {
            onFirstEvent(reported.work().id(), now);
        }
        return ImmutableList.of();
    }

    private ImmutableList<AssignEffect> removeHost(HostId host, long now) {
        pool.removeHost(host);
        waiting.removeAllOf(host);
        pool.advance(profiles, now);
        activeAttempts.of(host).forEach(id -> release(id, now));
        return assignQueued(now);
    }

    private void release(AttemptId id, long now) {
        attribution.forget(id, now);
        activeAttempts.remove(id).ifPresent(attempt -> {
            rooms.of(attempt.work().service()).onEnded(attempt, Outcome.WITHDRAWN, now);
            pool.find(attempt.targets()).forEach(load -> load.remove(id));
        });
    }

    private ImmutableList<AssignEffect> updateTargets(ImmutableList<FleetTarget> targets, long now) {
        pool.advance(profiles, now);
        ImmutableList.Builder<AssignEffect> effects = ImmutableList.builder();
        for (TargetIncarnation ended : pool.update(targets, now)) {
            effects.addAll(toEffects(attribution.recordEntryEnded(ended, now)));
        }
        attribution.setTargetCounts(pool.countByService());
        rooms.retain(pool.countByService().keySet());
        return effects.addAll(assignQueued(now)).build();
    }

    private static ImmutableList<AssignEffect> toEffects(ImmutableList<CrashVerdict> verdicts) {
        return verdicts.stream().map(AssignEffect.Concluded::new).collect(ImmutableList.toImmutableList());
    }

    /** Handles the report that a target refused a connection after others to it had ended. */
    private ImmutableList<AssignEffect> onConnectionRefused(TargetIncarnation target, long now) {
        pool.recordRefusedConnection(target, now);
        pool.find(target.id()).ifPresent(load -> copies.onCrash(load.target().service(), now));
        return toEffects(attribution.recordRefusedConnection(target, now));
    }

    private ImmutableList<AssignEffect> assignQueued(long now) {
        if (waiting.isEmpty()) {
            return ImmutableList.of();
        }
        pool.advance(profiles, now);
        ImmutableList.Builder<AssignEffect> effects = ImmutableList.builder();
        UnplacedSizes unplaced = new UnplacedSizes();
        for (QueuedWork queued : waiting.due(now)) {
            Work work = queued.workAt(now);
            TargetPool.CandidateGroup group = pool.group(work);
            if (!queued.isLong() && unplaced.excludes(group, work) && !mustDecide(work)) {
                continue;
            }
            Optional<AssignEffect> decided = decide(queued, now, false);
            if (decided.isPresent()) {
                waiting.remove(work.id());
                effects.add(decided.get());
            } else if (!queued.isLong() && work.excluded().isEmpty()) {
                unplaced.add(group, work);
            }
        }
        return effects.build();
    }

    /** Returns whether queued work is decided although no candidate has capacity: it is refused. */
    private boolean mustDecide(Work work) {
        return AdmissionPolicy.isTooOld(work)
                || attribution.findQuarantined(work.service(), work.parts()).isPresent();
    }
}
