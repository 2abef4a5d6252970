package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * Chooses engines for one prompt so that the total predicted loss of all callers is least.
 *
 * <p>The prefill of a long prompt is split over as many engines as it needs to meet its objective, preferably where it
 * delays few answers that are being decoded; a short prompt is placed where the prefill backlog is small.
 */
final class Placement {
    /** Maximum helpers of one prompt; the engines' own limit is 16. */
    private static final int MAX_HELPERS = 12;

    /** Minimum prefill that is split, in milliseconds: parts of less would be shorter than a pass. */
    private static final double MIN_SPLIT_MILLIS = 90;

    /** Fraction of an engine's memory that is planned; the rest covers answers longer than expected. */
    private static final double PLANNED_MEMORY = 0.9;

    /** Factor on the expected answer length in planning, as estimates are right only at the median. */
    private static final double ANSWER_MARGIN = 1.3;

    /** Fraction of its planned memory that the owner of a prompt larger than any target must have free. */
    private static final double LARGE_OWNER_SHARE = 0.5;

    /** Loss per helper: one more target whose failure aborts the request. */
    private static final double HELPER_LOSS = 0.01;

    /** Loss of an assignment to another zone: traffic between zones. */
    private static final double CROSSING_LOSS = 0.01;

    /** Loss of any prompt at an ejected engine. */
    private static final double FAILING_LOSS = 1;

    /** Maximum prefill backlog of a target for a part of a long prompt, in milliseconds: half of a typical part. */
    private static final double READY_MILLIS = 150;

    /** Fraction of the objective up to which a long prompt may wait for targets. */
    private static final double WAIT_SHARE = 0.75;

    /** Fraction of the caller's abandonment time up to which a prompt that is too long to be on time may wait. */
    private static final double LATE_WAIT_SHARE = 0.6;

    private final Work work;
    private final PromptSize size;
    private final EngineProfile profile;
    private final List<TargetLoad> candidates;
    private final long now;
    private final double readMillis;
    private final double worth;

    Placement(Work work, PromptSize size, EngineProfile profile, List<TargetLoad> candidates, long now) {
        this.work = work;
        this.size = size;
        this.profile = profile;
        this.candidates = candidates;
        this.now = now;
        this.readMillis = profile.readMillis(size.promptTokens());
        this.worth = CostModel.worth(work, profile);
    }

    /**
     * A possible assignment and its predicted loss; {@code tooLate} if the caller or the limit would not wait for it.
     */
    record Choice(Assignment assignment, double loss, boolean hopeless) {}

    private record Part(TargetLoad load, double harm, double firstMillis) {}

    /** Returns the choice with the least loss, or empty if no candidate has capacity. */
    Optional<Choice> best() {
        return best(candidates);
    }

    /** Returns whether the prompt is long enough to be split. */
    boolean isLong() {
        return readMillis >= MIN_SPLIT_MILLIS;
    }

    /**
     * Returns the choice with the least loss among targets with little prefill backlog.
     *
     * <p>Engines prefill helpers' parts first, so parts that queue at an engine delay the work before them. A long
     * prompt therefore waits in the assigner instead, which keeps the order.
     */
    Optional<Choice> bestOfReady() {
        return best(candidates.stream().filter(Placement::isReady).toList());
    }

    /** Returns whether all candidates are ready, so that waiting gains none. */
    boolean areAllReady() {
        return candidates.stream().allMatch(Placement::mayHelp);
    }

    /**
     * An engine prefills the newest helper part first, so one more would delay an unfinished part by its whole prefill.
     */
    private static boolean mayHelp(TargetLoad load) {
        return isReady(load) && !load.helpsUnfinished();
    }

    private static boolean isReady(TargetLoad load) {
        return load.backlogMillis() <= READY_MILLIS;
    }

    /** Returns whether the prompt can wait for more targets: it would still be on time, or it is late in any case. */
    boolean mayWait() {
        int parts = Math.min(MAX_HELPERS + 1, candidates.size());
        double age = work.age().toMillis();
        double minMillis = readMillis / parts + READY_MILLIS;
        double objective = WAIT_SHARE * work.objective().toMillis();
        if (minMillis > objective) {
            return age + minMillis < LATE_WAIT_SHARE * CostModel.leaveMillis(work);
        }
        return age + minMillis < objective;
    }

    /** Returns whether the choice is predicted to be on time. */
    boolean isSafe(Choice choice) {
        double total =
                work.age().toMillis() + choice.assignment().predictedFirst().toMillis();
        return total < WAIT_SHARE * work.objective().toMillis();
    }

    private Optional<Choice> best(List<TargetLoad> targets) {
        Choice best = null;
        int maxParts = isLong() ? Math.min(MAX_HELPERS + 1, targets.size()) : 1;
        for (int parts = 1; parts <= maxParts; parts++) {
            Optional<Choice> choice = split(targets, parts);
            if (choice.isPresent() && (best == null || choice.get().loss() < best.loss())) {
                best = choice.get();
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Choice> split(List<TargetLoad> targets, int parts) {
        double tokens = (double) size.promptTokens() / parts;
        double millis = readMillis / parts;
        Optional<Part> owner = owner(targets, tokens, millis, parts);
        if (owner.isEmpty()) {
            return Optional.empty();
        }
        List<Part> helpers = helpers(targets, owner.get(), tokens, millis, parts - 1);
        Optional<ImmutableList<Helper>> stored = store(owner.get(), helpers);
        if (helpers.size() < parts - 1 || stored.isEmpty()) {
            return Optional.empty();
        }
        double first = owner.get().firstMillis();
        double loss = owner.get().harm();
        for (Part helper : helpers) {
            first = Math.max(first, helper.firstMillis());
            loss += helper.harm() + HELPER_LOSS;
        }
        double total = work.age().toMillis() + first;
        loss += CostModel.lateLoss(work, total, worth);
        boolean tooLate =
                total > CostModel.leaveMillis(work) || first > work.remaining().toMillis();
        Assignment assignment =
                new Assignment(owner.get().load().target(), stored.get(), Duration.ofMillis(Math.round(first)));
        return Optional.of(new Choice(assignment, loss, tooLate));
    }

    /**
     * Distributes the memory that the owner lacks over the helpers with the most free memory; empty if they lack some,
     * too.
     */
    private Optional<ImmutableList<Helper>> store(Part owner, List<Part> helpers) {
        long missing = plannedTokens() - freeTokens(owner.load());
        List<Part> mostFree = new ArrayList<>(helpers);
        mostFree.sort(Comparator.comparingDouble(target -> -freeTokens(target.load())));
        ImmutableList.Builder<Helper> stored = ImmutableList.builder();
        for (Part helper : mostFree) {
            long tokens = Math.max(0, Math.min(missing, freeTokens(helper.load())));
            missing -= tokens;
            stored.add(new Helper(helper.load().target(), tokens));
        }
        return missing > 0 ? Optional.empty() : Optional.of(stored.build());
    }

    private Optional<Part> owner(List<TargetLoad> targets, double tokens, double millis, int parts) {
        Part best = null;
        double least = Double.MAX_VALUE;
        for (TargetLoad load : targets) {
            if (!mayOwn(load, parts)) {
                continue;
            }
            double first = CostModel.firstEventMillis(load, profile, tokens, millis, false);
            double loss = CostModel.harm(load, profile, tokens, millis)
                    + CostModel.ownPauseLoss(work, load, profile, first, worth)
                    + sideLoss(load);
            double cost = loss + CostModel.lateLoss(work, work.age().toMillis() + first, worth);
            if (cost < least) {
                least = cost;
                best = new Part(load, loss, first);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether the target can answer; it needs memory for the whole prompt unless that is larger than any
     * target.
     */
    private boolean mayOwn(TargetLoad load, int parts) {
        boolean isLarger = plannedTokens() > fittingTokens(profile);
        double needed = isLarger && parts > 1 ? fittingTokens(profile) * LARGE_OWNER_SHARE : plannedTokens();
        return load.owned() < load.target().slots() && needed <= freeTokens(load);
    }

    private long plannedTokens() {
        return size.promptTokens() + (long) (ANSWER_MARGIN * size.answerTokens());
    }

    private long freeTokens(TargetLoad load) {
        return fittingTokens(profile) - load.memoryTokens();
    }

    private double sideLoss(TargetLoad load) {
        double loss = load.target().zone().equals(work.zone()) ? 0 : CROSSING_LOSS;
        loss += load.health().isOut() ? FAILING_LOSS : 0;
        return loss;
    }

    /** Returns the tokens of context that may be planned at one engine. */
    static long fittingTokens(EngineProfile profile) {
        return (long) (PLANNED_MEMORY * profile.memoryTokens());
    }

    private List<Part> helpers(List<TargetLoad> targets, Part owner, double tokens, double millis, int count) {
        List<Part> scored = new ArrayList<>();
        if (count == 0) {
            return scored;
        }
        for (TargetLoad load : targets) {
            if (load == owner.load() || !mayHelp(load) || load.health().isOut()) {
                continue;
            }
            double first = CostModel.firstEventMillis(load, profile, tokens, millis, true);
            double loss =
                    CostModel.harm(load, profile, tokens, millis) + CostModel.delayLoss(load, profile, millis, now);
            scored.add(new Part(load, loss, first));
        }
        scored.sort(Comparator.comparingDouble(
                target -> target.harm() + target.firstMillis() / work.objective().toMillis()));
        return scored.subList(0, Math.min(count, scored.size()));
    }
}
