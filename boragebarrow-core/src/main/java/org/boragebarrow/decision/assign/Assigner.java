package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Assigns work to targets, queues it while all targets are full, and refuses work that cannot be served.
 *
 * <p>Two assigners that are active at the same time cost efficiency only, not correctness: a host checks each
 * assignment against its own view of the fleet. Queued work is reconsidered whenever an attempt ends, the earliest
 * objective first.
 */
public final class Assigner implements Machine<AssignEvent, AssignEffect> {
    /** Maximum queued work per slot of its service; more would wait longer than one answer takes. */
    private static final double WAITING_PER_SLOT = 1.0;

    /**
     * Fraction of the caller's abandonment time after which work precedes all other work, which prevents starvation.
     */
    private static final double URGENT_SHARE = 0.6;

    /** Fraction of the objective within which queued work can still be on time. */
    private static final double HOPEFUL_SHARE = 0.7;

    private static final double NANOS_PER_MILLI = 1e6;

    /** The minimum and the default retry delay of a refused caller: about half the duration of an answer. */
    private static final Duration SHORT_RETURN = Duration.ofMillis(300);

    private static final Duration USUAL_RETURN = Duration.ofMillis(900);

    /** Time after its limit at which an attempt without an end event counts as ended. */
    private static final Duration OVERDUE = Duration.ofSeconds(1);

    private static final Duration EXPIRY_PERIOD = Duration.ofMillis(500);

    private final Map<TargetId, TargetLoad> loads = new LinkedHashMap<>();
    private final Map<AttemptId, Place> places = new LinkedHashMap<>();
    private final ZoneReach reach = new ZoneReach();
    private final Map<AttemptId, Waiting> waiting = new LinkedHashMap<>();
    private ImmutableMap<ServiceName, EngineProfile> profiles = ImmutableMap.of();
    private long expiredAt;

    /** The targets of an attempt, the one that answers first, and the time at which it expires without an end event. */
    private record Place(ImmutableList<TargetId> targets, long until) {}

    private record Waiting(Work work, long since) {
        /** Returns the work with its age and remaining time as of {@code now}. */
        Work at(long now) {
            return work.after(Duration.ofNanos(now - since));
        }

        private double ageMillis(long now) {
            return work.age().toMillis() + (now - since) / NANOS_PER_MILLI;
        }

        /**
         * Returns the rank in the queue: 0 for work whose caller is about to abandon it, 1 for work that can still be
         * on time, 2 for work that is late in any case.
         */
        int rank(long now) {
            double age = ageMillis(now);
            if (age > CostModel.leaveMillis(work) * URGENT_SHARE) {
                return 0;
            }
            return age < work.objective().toMillis() * HOPEFUL_SHARE ? 1 : 2;
        }

        /** Returns the time left until the objective; work with less slack comes first within a rank. */
        double slackMillis(long now) {
            return work.objective().toMillis() - ageMillis(now);
        }
    }

    @Override
    public ImmutableList<AssignEffect> apply(AssignEvent event, long now) {
        checkNotNull(event);
        return switch (event) {
            case AssignEvent.Submitted submitted -> submit(submitted.work(), now);
            case AssignEvent.FirstEventSeen seen -> startWriting(seen.id(), now);
            case AssignEvent.Ended ended -> end(ended, now);
            case AssignEvent.Held reported -> hold(reported, now);
            case AssignEvent.HostLost lost -> loseHost(lost.host(), now);
            case AssignEvent.FleetChanged changed -> takeFleet(changed.targets(), now);
            case AssignEvent.ProfilesChanged changed -> {
                profiles = changed.profiles();
                yield ImmutableList.of();
            }
            case AssignEvent.Ticked ignored -> serveWaiting(now);
        };
    }

    /** Returns whether work is queued, so that {@link AssignEvent.Ticked} is needed. */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the number of attempts that have a target. */
    public int assigned() {
        return places.size();
    }

    private ImmutableList<AssignEffect> submit(Work work, long now) {
        expire(now);
        advance(now);
        if (places.containsKey(work.id())) {
            // The host sent the work to another assigner in the meantime and now submits it here again.
            forget(work.id());
        }
        Optional<AssignEffect> decided = decide(work, now, true);
        if (decided.isPresent()) {
            return ImmutableList.of(decided.get());
        }
        waiting.put(work.id(), new Waiting(work, now));
        return ImmutableList.of(new AssignEffect.Queued(work.id()));
    }

    /** Returns the decision, or empty if the work should be queued. */
    private Optional<AssignEffect> decide(Work work, long now, boolean isNew) {
        List<TargetLoad> candidates = candidates(work, now);
        if (candidates.isEmpty()) {
            return Optional.of(refuse(work, RefusalReason.NO_TARGET, USUAL_RETURN));
        }
        Optional<EngineProfile> profile = profileOf(work);
        if (profile.isEmpty()) {
            return plain(work, candidates, isNew, now);
        }
        PromptSize size = work.size().orElseGet(() -> usual(profile.get()));
        if (size.total() > Placement.fittingTokens(profile.get()) * candidates.size()) {
            return Optional.of(refuse(work, RefusalReason.TOO_LARGE, USUAL_RETURN));
        }
        Placement placement = new Placement(work, size, profile.get(), candidates, now);
        Optional<Placement.Choice> choice = choose(placement);
        if (choice.isEmpty() && placement.isLong() && placement.mayWait()) {
            return Optional.empty();
        }
        if (choice.isEmpty()) {
            return full(work, candidates, isNew);
        }
        if (choice.get().hopeless()) {
            return Optional.of(refuse(work, RefusalReason.TOO_LATE, SHORT_RETURN));
        }
        Assignment assignment = choice.get().assignment();
        place(work, assignment.target().id(), assignment.helperRefs(), now);
        return Optional.of(new AssignEffect.Assigned(work.id(), assignment));
    }

    /**
     * A long prompt uses targets with little prefill backlog, waits for them as long as it can, and then uses any
     * target.
     */
    private static Optional<Placement.Choice> choose(Placement placement) {
        if (!placement.isLong()) {
            return placement.best();
        }
        Optional<Placement.Choice> ready = placement.bestOfReady();
        if (ready.isPresent() && (placement.isSafe(ready.get()) || placement.areAllReady())) {
            return ready;
        }
        return placement.mayWait() ? Optional.empty() : placement.best();
    }

    private Optional<AssignEffect> plain(Work work, List<TargetLoad> candidates, boolean isNew, long now) {
        Optional<TargetLoad> target = LeastBusy.choose(work, candidates);
        if (target.isEmpty()) {
            return full(work, candidates, isNew);
        }
        place(work, target.get().target().id(), ImmutableList.of(), now);
        Assignment assignment = Assignment.of(target.get().target(), work.objective());
        return Optional.of(new AssignEffect.Assigned(work.id(), assignment));
    }

    private Optional<AssignEffect> full(Work work, List<TargetLoad> candidates, boolean isNew) {
        int slots = 0;
        for (TargetLoad load : candidates) {
            slots += load.target().slots();
        }
        long queued = waiting.values().stream()
                .filter(other -> other.work().service().equals(work.service()))
                .count();
        if (isNew && queued >= slots * WAITING_PER_SLOT) {
            return Optional.of(refuse(work, RefusalReason.OVERLOADED, USUAL_RETURN));
        }
        boolean abandoned = work.age().toMillis() > CostModel.leaveMillis(work);
        if (abandoned || work.remaining().isNegative() || work.remaining().isZero()) {
            return Optional.of(refuse(work, RefusalReason.TOO_LATE, SHORT_RETURN));
        }
        return Optional.empty();
    }

    private static AssignEffect refuse(Work work, RefusalReason reason, Duration retryAfter) {
        return new AssignEffect.Refused(work.id(), reason, retryAfter);
    }

    private static PromptSize usual(EngineProfile profile) {
        return new PromptSize(0, profile.usualAnswerTokens());
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
            boolean fits = !target.draining()
                    && target.service().equals(work.service())
                    && !work.excluded().contains(target.id());
            if (!fits) {
                continue;
            }
            boolean reachable = reach.allows(work.zone(), target.zone(), now);
            (reachable && load.health().allows(now, load.owned()) ? healthy : unhealthy).add(load);
        }
        return healthy.isEmpty() ? unhealthy : healthy;
    }

    private void place(Work work, TargetId target, ImmutableList<Helper.Ref> helpers, long now) {
        Optional<EngineProfile> profile = profileOf(work);
        ImmutableList.Builder<TargetId> all = ImmutableList.builder();
        TargetLoad owner = loads.get(target);
        if (owner != null) {
            reach.onSent(work.zone(), owner.target().zone(), now);
            owner.add(HeldWork.owned(work, helpers, profile, now));
            all.add(target);
        }
        for (Helper.Ref helper : helpers) {
            TargetLoad load = loads.get(helper.target());
            if (load != null) {
                load.add(HeldWork.helping(work, helper, helpers.size(), profile, now));
                all.add(helper.target());
            }
        }
        long until = now + work.remaining().plus(OVERDUE).toNanos();
        places.put(work.id(), new Place(all.build(), until));
    }

    private ImmutableList<AssignEffect> startWriting(AttemptId id, long now) {
        advance(now);
        Place attempt = places.get(id);
        if (attempt == null) {
            return ImmutableList.of();
        }
        for (TargetId target : attempt.targets()) {
            TargetLoad load = loads.get(target);
            if (load == null) {
                continue;
            }
            load.find(id).ifPresent(part -> {
                if (!part.isHelper()) {
                    part.startWriting();
                } else if (part.memoryTokens() > 0) {
                    part.endReading();
                } else {
                    load.remove(id);
                }
            });
        }
        return serveWaiting(now);
    }

    private ImmutableList<AssignEffect> end(AssignEvent.Ended ended, long now) {
        if (waiting.remove(ended.id()) != null) {
            return ImmutableList.of();
        }
        Place attempt = places.remove(ended.id());
        if (attempt == null) {
            return ImmutableList.of();
        }
        advance(now);
        for (TargetId target : attempt.targets()) {
            TargetLoad load = loads.get(target);
            if (load == null) {
                continue;
            }
            Optional<HeldWork> part = load.remove(ended.id()).filter(held -> !held.isHelper());
            if (part.isPresent()) {
                load.health().record(ended.outcome(), now);
                reach.record(part.get().work().zone(), load.target().zone(), ended.outcome(), now);
            }
        }
        return serveWaiting(now);
    }

    private ImmutableList<AssignEffect> hold(AssignEvent.Held reported, long now) {
        waiting.remove(reported.work().id());
        if (places.containsKey(reported.work().id())) {
            return ImmutableList.of();
        }
        advance(now);
        place(reported.work(), reported.target(), reported.helpers(), now);
        if (reported.firstEventSeen()) {
            startWriting(reported.work().id(), now);
        }
        return ImmutableList.of();
    }

    private ImmutableList<AssignEffect> loseHost(HostId host, long now) {
        waiting.keySet().removeIf(id -> id.owner().host().equals(host));
        advance(now);
        for (AttemptId id : ImmutableList.copyOf(places.keySet())) {
            if (!id.owner().host().equals(host)) {
                continue;
            }
            forget(id);
        }
        return serveWaiting(now);
    }

    private void forget(AttemptId id) {
        for (TargetId target : places.remove(id).targets()) {
            Optional.ofNullable(loads.get(target)).ifPresent(load -> load.remove(id));
        }
    }

    /** Removes attempts whose end event was lost. */
    private void expire(long now) {
        if (now - expiredAt < EXPIRY_PERIOD.toNanos()) {
            return;
        }
        expiredAt = now;
        for (Map.Entry<AttemptId, Place> entry : ImmutableList.copyOf(places.entrySet())) {
            if (now - entry.getValue().until() > 0) {
                forget(entry.getKey());
            }
        }
    }

    private ImmutableList<AssignEffect> takeFleet(ImmutableList<FleetTarget> targets, long now) {
        advance(now);
        Map<TargetId, FleetTarget> present = new HashMap<>();
        targets.forEach(target -> present.put(target.id(), target));
        loads.keySet().removeIf(id -> !present.containsKey(id));
        for (FleetTarget target : targets) {
            TargetLoad known = loads.get(target.id());
            if (known != null && known.target().isSameLife(target)) {
                known.update(target);
            } else {
                loads.put(target.id(), new TargetLoad(target, now));
            }
        }
        return serveWaiting(now);
    }

    private ImmutableList<AssignEffect> serveWaiting(long now) {
        if (waiting.isEmpty()) {
            return ImmutableList.of();
        }
        advance(now);
        List<Waiting> order = new ArrayList<>(waiting.values());
        order.sort(Comparator.comparingInt((Waiting work) -> work.rank(now))
                .thenComparingDouble(work -> work.slackMillis(now)));
        ImmutableList.Builder<AssignEffect> effects = ImmutableList.builder();
        Iterator<Waiting> next = order.iterator();
        while (next.hasNext()) {
            Work work = next.next().at(now);
            Optional<AssignEffect> decided = decide(work, now, false);
            if (decided.isPresent()) {
                waiting.remove(work.id());
                effects.add(decided.get());
            }
        }
        return effects.build();
    }

    private void advance(long now) {
        for (TargetLoad load : loads.values()) {
            load.advance(now, Optional.ofNullable(profiles.get(load.target().service())));
        }
    }
}
