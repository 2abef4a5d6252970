package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * Chooses engines for one prompt so that the total predicted loss of all callers is minimal.
 *
 * <p>The prefill of a long prompt is split over as many engines as it needs to meet its objective, preferably where it
 * delays few answers that are being decoded; a short prompt joins an engine that decodes already, as long as the
 * prefill backlog there is small, so that other engines remain free for long prompts.
 */
final class Placement {
    /** Maximum helpers of one prompt. */
    private static final int MAX_HELPERS = EngineProfile.MAX_PREFILL_ENGINES - 1;

    /** Numbers of parts up to this one are all weighed; of the larger ones every other. */
    private static final int MAX_FINE_PARTS = 6;

    /** Targets that are weighed for each part of a long prompt. */
    private static final int SHORTLIST_FACTOR = 2;

    /** Minimum prefill that is split, in milliseconds: parts of a shorter prefill would be shorter than a pass. */
    private static final double MIN_SPLIT_PREFILL_MILLIS = 90;

    /** Fraction of an engine's memory that is planned; the rest covers answers longer than expected. */
    private static final double PLANNED_MEMORY_FRACTION = 0.9;

    /** Factor on the expected answer length in planning, as estimates are right only at the median. */
    private static final double ANSWER_LENGTH_FACTOR = 1.3;

    /** Fraction of its planned memory that the owner of a prompt larger than any target must have free. */
    private static final double LARGE_PROMPT_OWNER_FRACTION = 0.5;

    /** Loss per helper: one more target whose failure aborts the request. */
    private static final double HELPER_LOSS = 0.01;

    /**
     * Loss of a target in another zone: traffic between zones, and a prompt that is split over zones fails with each
     * of them.
     */
    private static final double CROSS_ZONE_LOSS = 0.01;

    /**
     * Loss of a short prompt at a target that answers nothing else: as long as short prompts share targets, the others
     * can prefill long prompts without interrupting an answer.
     */
    private static final double IDLE_TARGET_LOSS = 0.03;

    /** Loss of any prompt at an ejected engine. */
    private static final double EJECTED_LOSS = 1;

    /**
     * Maximum prefill backlog with which a target is ready for a part of a long prompt, in milliseconds: half of a
     * typical part.
     */
    private static final double MAX_READY_BACKLOG_MILLIS = 150;

    /** Maximum predicted loss of other callers that a long prompt causes while it can wait: half of a short prompt. */
    private static final double MAX_HARM = 0.5;

    /** Fraction of the objective up to which a long prompt may wait for targets. */
    private static final double MAX_WAIT_FRACTION = 0.75;

    /**
     * Fraction of the time until the caller disconnects, or its limit, up to which a prompt that is too long to be on
     * time may wait.
     */
    private static final double MAX_LATE_WAIT_FRACTION = 0.6;

    private final Work work;
    private final PromptSize size;
    private final EngineProfile profile;
    private final List<TargetLoad> candidates;
    private final long now;
    private final double prefillMillis;
    private final double value;

    Placement(Work work, PromptSize size, EngineProfile profile, List<TargetLoad> candidates, long now) {
        this.work = work;
        this.size = size;
        this.profile = profile;
        this.candidates = candidates;
        this.now = now;
        this.prefillMillis = profile.prefillMillis(size.promptTokens());
        this.value = CostModel.value(work, profile);
    }

    /**
     * A possible assignment.
     *
     * @param loss the predicted loss of all callers
     * @param harm the part of the loss that the callers of other work have
     * @param tooLate whether the first event is predicted after the caller's abandonment time or the request's limit
     */
    record Choice(Assignment assignment, double loss, double harm, boolean tooLate) {}

    /** A target, its total predicted loss, the part of it that other callers have, and the time to its first event. */
    private record ScoredTarget(TargetLoad load, double loss, double harm, double firstMillis) {}

    /**
     * Returns the choice for the work; a long prompt uses targets with little prefill backlog, waits for them as long
     * as it can, and then uses any target.
     */
    Optional<Choice> choose() {
        if (!isLong()) {
            return best();
        }
        Optional<Choice> ready = bestAmongReady();
        boolean waits = canWait();
        boolean harmful = ready.map(this::isHarmful).orElse(false);
        if (ready.isPresent() && (isOnTime(ready.get()) || allCanHelp()) && !(waits && harmful)) {
            return ready;
        }
        return waits ? Optional.empty() : best();
    }

    /** Returns the choice with the least loss, or empty if no candidate has capacity. */
    Optional<Choice> best() {
        return best(candidates);
    }

    /** Returns whether a prompt of the size is long enough to be split. */
    static boolean isLong(EngineProfile profile, PromptSize size) {
        return profile.prefillMillis(size.promptTokens()) >= MIN_SPLIT_PREFILL_MILLIS;
    }

    /** Returns whether the prompt is long enough to be split. */
    boolean isLong() {
        return prefillMillis >= MIN_SPLIT_PREFILL_MILLIS;
    }

    /**
     * Returns the choice with the least loss among targets with little prefill backlog.
     *
     * <p>Engines prefill helpers' parts first, so a part that is queued at an engine delays the work before it. A long
     * prompt therefore waits in the assigner instead, which keeps the order.
     */
    Optional<Choice> bestAmongReady() {
        return best(candidates.stream().filter(Placement::isReady).toList());
    }

    /** Returns whether all candidates can help, so that waiting would add no targets. */
    boolean allCanHelp() {
        return candidates.stream().allMatch(Placement::canHelp);
    }

    /**
     * Returns whether the target can receive a helper's part: an engine prefills the newest helper part first, so one
     * more would delay an unfinished part by its entire prefill.
     */
    private static boolean canHelp(TargetLoad load) {
        return isReady(load) && !load.hasUnfinishedHelperPart();
    }

    /** Returns whether the target has little enough prefill to be ready for more. */
    static boolean isReady(TargetLoad load) {
        return load.prefillBacklogMillis() <= MAX_READY_BACKLOG_MILLIS;
    }

    /** Returns whether the prompt can wait for more targets: it would still be on time, or it is late in any case. */
    boolean canWait() {
        int parts = Math.min(MAX_HELPERS + 1, candidates.size());
        double age = work.age().toMillis();
        double minMillis = prefillMillis / parts + MAX_READY_BACKLOG_MILLIS;
        double objective = MAX_WAIT_FRACTION * work.objective().toMillis();
        if (minMillis > objective) {
            double end = Math.min(
                    CostModel.abandonmentMillis(work), age + work.remaining().toMillis());
            return age + minMillis < MAX_LATE_WAIT_FRACTION * end;
        }
        return age + minMillis < objective;
    }

    /** Returns whether the choice does so much harm to other callers that the prompt should wait if it can. */
    boolean isHarmful(Choice choice) {
        return choice.harm() > MAX_HARM;
    }

    /** Returns whether the choice is predicted to be on time. */
    boolean isOnTime(Choice choice) {
        double total = work.age().toMillis()
                + choice.assignment().predictedTimeToFirstEvent().toMillis();
        return total < MAX_WAIT_FRACTION * work.objective().toMillis();
    }

    private Optional<Choice> best(List<TargetLoad> targets) {
        if (!isLong()) {
            return split(targets, 1);
        }
        int maxParts = Math.min(MAX_HELPERS + 1, targets.size());
        List<TargetLoad> shortlist = shortlist(targets, maxParts);
        Choice best = null;
        for (int parts = 1; parts <= maxParts; parts = nextParts(parts, maxParts)) {
            Optional<Choice> choice = split(shortlist, parts);
            if (choice.isPresent() && (best == null || choice.get().loss() < best.loss())) {
                best = choice.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the next larger number of parts to weigh; the largest possible one is never left out. */
    private static int nextParts(int parts, int maxParts) {
        int next = parts + (parts < MAX_FINE_PARTS ? 1 : 2);
        return parts < maxParts ? Math.min(next, maxParts) : next;
    }

    /**
     * Returns the targets where a part of the prompt would cause the least loss, twice as many as it can use, so that
     * the cost of a decision hardly depends on the number of targets.
     */
    private List<TargetLoad> shortlist(List<TargetLoad> targets, int maxParts) {
        int maxSize = SHORTLIST_FACTOR * maxParts;
        if (targets.size() <= maxSize) {
            return targets;
        }
        double tokens = (double) size.promptTokens() / maxParts;
        double millis = prefillMillis / maxParts;
        Optional<ScoredTarget> owner = chooseOwner(targets, tokens, millis, maxParts);
        List<ScoredTarget> scored = new ArrayList<>(targets.size());
        for (TargetLoad load : targets) {
            if (!canHelp(load) || load.health().isEjected()) {
                continue;
            }
            scored.add(scoreHelper(load, tokens, millis));
        }
        List<TargetLoad> shortlist = new ArrayList<>(maxSize + 1);
        for (ScoredTarget target : scored.stream().collect(Comparators.least(maxSize, byLossAndTime()))) {
            shortlist.add(target.load());
        }
        if (owner.isPresent() && !shortlist.contains(owner.get().load())) {
            shortlist.add(owner.get().load());
        }
        return shortlist;
    }

    private Comparator<ScoredTarget> byLossAndTime() {
        double objective = work.objective().toMillis();
        return Comparator.comparingDouble(target -> target.loss() + target.firstMillis() / objective);
    }

    private Optional<Choice> split(List<TargetLoad> targets, int parts) {
        double tokens = (double) size.promptTokens() / parts;
        double millis = prefillMillis / parts;
        Optional<ScoredTarget> owner = chooseOwner(targets, tokens, millis, parts);
        if (owner.isEmpty()) {
            return Optional.empty();
        }
        List<ScoredTarget> helpers = chooseHelpers(targets, owner.get(), tokens, millis, parts - 1);
        Optional<ImmutableList<HelperTarget>> stored = distributeMemory(owner.get(), helpers);
        if (helpers.size() < parts - 1 || stored.isEmpty()) {
            return Optional.empty();
        }
        double first = owner.get().firstMillis();
        double loss = owner.get().loss();
        double harm = owner.get().harm();
        for (ScoredTarget helper : helpers) {
            first = Math.max(first, helper.firstMillis());
            loss += helper.loss() + HELPER_LOSS;
            harm += helper.harm();
        }
        double total = work.age().toMillis() + first;
        loss += CostModel.lateLoss(work, total, value);
        boolean tooLate = total > CostModel.abandonmentMillis(work)
                || first > work.remaining().toMillis();
        Assignment assignment =
                new Assignment(owner.get().load().target(), stored.get(), Duration.ofMillis(Math.round(first)));
        return Optional.of(new Choice(assignment, loss, harm, tooLate));
    }

    /**
     * Distributes the memory that the owner lacks over the helpers with the most free memory; empty if theirs does not
     * suffice.
     */
    private Optional<ImmutableList<HelperTarget>> distributeMemory(ScoredTarget owner, List<ScoredTarget> helpers) {
        long missing = plannedTokens() - freeTokens(owner.load());
        List<ScoredTarget> mostFree = new ArrayList<>(helpers);
        mostFree.sort(Comparator.comparingDouble(target -> -freeTokens(target.load())));
        ImmutableList.Builder<HelperTarget> stored = ImmutableList.builder();
        for (ScoredTarget helper : mostFree) {
            long tokens = Math.max(0, Math.min(missing, freeTokens(helper.load())));
            missing -= tokens;
            stored.add(new HelperTarget(helper.load().target(), tokens));
        }
        return missing > 0 ? Optional.empty() : Optional.of(stored.build());
    }

    private Optional<ScoredTarget> chooseOwner(List<TargetLoad> targets, double tokens, double millis, int parts) {
        ScoredTarget best = null;
        double least = Double.MAX_VALUE;
        for (TargetLoad load : targets) {
            if (!canOwn(load, parts)) {
                continue;
            }
            double first = CostModel.firstEventMillis(load, profile, tokens, millis, false);
            double harm = CostModel.interferenceLoss(load, profile, tokens, millis);
            double loss = harm + CostModel.ownPauseLoss(work, load, profile, first, value) + zoneAndHealthLoss(load);
            double cost = loss + CostModel.lateLoss(work, work.age().toMillis() + first, value);
            if (cost < least) {
                least = cost;
                best = new ScoredTarget(load, loss, harm, first);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether the target can answer; it needs memory for the entire prompt unless that exceeds the memory of
     * any target.
     */
    private boolean canOwn(TargetLoad load, int parts) {
        boolean isLarger = plannedTokens() > plannedCapacityTokens(profile);
        double needed =
                isLarger && parts > 1 ? plannedCapacityTokens(profile) * LARGE_PROMPT_OWNER_FRACTION : plannedTokens();
        return load.ownedCount() < load.target().slots() && needed <= freeTokens(load);
    }

    private long plannedTokens() {
        return size.promptTokens() + (long) (ANSWER_LENGTH_FACTOR * size.answerTokens());
    }

    private long freeTokens(TargetLoad load) {
        return plannedCapacityTokens(profile) - load.memoryTokens();
    }

    private double zoneAndHealthLoss(TargetLoad load) {
        double loss = zoneLoss(load);
        loss += !isLong() && load.decodingCount() == 0 && load.ownedCount() == 0 ? IDLE_TARGET_LOSS : 0;
        loss += load.health().isEjected() ? EJECTED_LOSS : 0;
        return loss;
    }

    private double zoneLoss(TargetLoad load) {
        return load.target().zone().equals(work.zone()) ? 0 : CROSS_ZONE_LOSS;
    }

    /** Returns the tokens of context that may be planned at one engine. */
    static long plannedCapacityTokens(EngineProfile profile) {
        return (long) (PLANNED_MEMORY_FRACTION * profile.memoryTokens());
    }

    private List<ScoredTarget> chooseHelpers(
            List<TargetLoad> targets, ScoredTarget owner, double tokens, double millis, int count) {
        List<ScoredTarget> scored = new ArrayList<>();
        if (count == 0) {
            return scored;
        }
        for (TargetLoad load : targets) {
            if (load == owner.load() || !canHelp(load) || load.health().isEjected()) {
                continue;
            }
            scored.add(scoreHelper(load, tokens, millis));
        }
        scored.sort(byLossAndTime());
        return scored.subList(0, Math.min(count, scored.size()));
    }

    private ScoredTarget scoreHelper(TargetLoad load, double tokens, double millis) {
        double first = CostModel.firstEventMillis(load, profile, tokens, millis, true);
        double harm = CostModel.interferenceLoss(load, profile, tokens, millis)
                + CostModel.delayLoss(load, profile, millis, now);
        return new ScoredTarget(load, harm + zoneLoss(load), harm, first);
    }
}
