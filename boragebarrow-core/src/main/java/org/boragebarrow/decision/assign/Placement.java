package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * Chooses engines for one prompt so that all callers together lose least.
 *
 * <p>A long prompt is read by as many engines as brings it inside its objective, where it stretches few pauses of those
 * that write already; a short one goes where little is read.
 */
final class Placement {
    /** The most targets that may help one another; the engines' own bound is 16. */
    private static final int MAX_HELPERS = 12;

    /** Reading below this is never split, in milliseconds: the parts would be shorter than a pass. */
    private static final double MIN_SPLIT_MILLIS = 90;

    /** The part of an engine's memory that is planned for; the rest covers answers longer than expected. */
    private static final double PLANNED_MEMORY = 0.9;

    /** Answers are planned for at this multiple of what is expected, as estimates are right only at the median. */
    private static final double ANSWER_MARGIN = 1.3;

    /** The part of its planned memory that the owner of a prompt larger than any target must have free. */
    private static final double LARGE_OWNER_SHARE = 0.5;

    /** What each helper costs: one more target whose failure breaks the request off. */
    private static final double HELPER_LOSS = 0.01;

    /** What crossing zones costs: bytes between zones. */
    private static final double CROSSING_LOSS = 0.01;

    /** What any prompt loses at an engine that failed lately. */
    private static final double FAILING_LOSS = 1;

    /** Reading left at a target that may be given a part of a long prompt, in milliseconds: half of an ordinary part. */
    private static final double READY_MILLIS = 150;

    /** The share of the objective up to which a long prompt may wait for targets. */
    private static final double WAIT_SHARE = 0.75;

    /** The share of the caller's patience up to which a prompt waits that is too long to be on time. */
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

    /** A possible assignment with what is lost by it. */
    record Choice(Assignment assignment, double loss, boolean hopeless) {}

    private record Part(TargetLoad load, double harm, double firstMillis) {}

    /** Returns the choice with the least loss, or empty if no candidate has room. */
    Optional<Choice> best() {
        return best(candidates);
    }

    /** Returns whether the prompt is long enough to be split. */
    boolean isLong() {
        return readMillis >= MIN_SPLIT_MILLIS;
    }

    /**
     * Returns the choice with the least loss among targets that have little left to read.
     *
     * <p>Parts that queue at an engine hold up those before them, as engines read helpers' parts first; a long prompt
     * therefore waits here instead, where the order is kept.
     */
    Optional<Choice> bestOfReady() {
        return best(candidates.stream().filter(Placement::isReady).toList());
    }

    /** Returns whether waiting would make no more targets ready. */
    boolean areAllReady() {
        return candidates.stream().allMatch(Placement::mayHelp);
    }

    /** An engine reads the newest part first, so what it reads already would wait for the whole of one more. */
    private static boolean mayHelp(TargetLoad load) {
        return isReady(load) && !load.helpsUnfinished();
    }

    private static boolean isReady(TargetLoad load) {
        return load.backlogMillis() <= READY_MILLIS;
    }

    /** Returns whether the prompt could still be on time if it waited for more targets, or is late in any case. */
    boolean mayWait() {
        int parts = Math.min(MAX_HELPERS + 1, candidates.size());
        double age = work.age().toMillis();
        double soonest = readMillis / parts + READY_MILLIS;
        double objective = WAIT_SHARE * work.objective().toMillis();
        if (soonest > objective) {
            return age + soonest < LATE_WAIT_SHARE * CostModel.leaveMillis(work);
        }
        return age + soonest < objective;
    }

    /** Returns whether the choice is on time. */
    boolean isSafe(Choice choice) {
        double total =
                work.age().toMillis() + choice.assignment().predictedFirst().toMillis();
        return total < WAIT_SHARE * work.objective().toMillis();
    }

    private Optional<Choice> best(List<TargetLoad> among) {
        Choice best = null;
        int most = isLong() ? Math.min(MAX_HELPERS + 1, among.size()) : 1;
        for (int parts = 1; parts <= most; parts++) {
            Optional<Choice> choice = split(among, parts);
            if (choice.isPresent() && (best == null || choice.get().loss() < best.loss())) {
                best = choice.get();
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Choice> split(List<TargetLoad> among, int parts) {
        double tokens = (double) size.promptTokens() / parts;
        double millis = readMillis / parts;
        Optional<Part> owner = owner(among, tokens, millis, parts);
        if (owner.isEmpty()) {
            return Optional.empty();
        }
        List<Part> helpers = helpers(among, owner.get(), tokens, millis, parts - 1);
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
        boolean hopeless =
                total > CostModel.leaveMillis(work) || first > work.remaining().toMillis();
        Assignment assignment =
                new Assignment(owner.get().load().target(), stored.get(), Duration.ofMillis(Math.round(first)));
        return Optional.of(new Choice(assignment, loss, hopeless));
    }

    /** Shares out the memory that the owner lacks, most to whom has most; empty if all of them together lack some. */
    private Optional<ImmutableList<Helper>> store(Part owner, List<Part> helpers) {
        long missing = plannedTokens() - freeTokens(owner.load());
        List<Part> roomiest = new ArrayList<>(helpers);
        roomiest.sort(Comparator.comparingDouble(part -> -freeTokens(part.load())));
        ImmutableList.Builder<Helper> stored = ImmutableList.builder();
        for (Part part : roomiest) {
            long tokens = Math.max(0, Math.min(missing, freeTokens(part.load())));
            missing -= tokens;
            stored.add(new Helper(part.load().target(), tokens));
        }
        return missing > 0 ? Optional.empty() : Optional.of(stored.build());
    }

    private Optional<Part> owner(List<TargetLoad> among, double tokens, double millis, int parts) {
        Part best = null;
        double least = Double.MAX_VALUE;
        for (TargetLoad load : among) {
            if (!mayOwn(load, parts)) {
                continue;
            }
            double first = CostModel.firstEventMillis(load, profile, tokens, millis, false);
            double harm = CostModel.harm(load, profile, tokens, millis)
                    + CostModel.ownPauseLoss(work, load, profile, first, worth)
                    + sideLoss(load);
            double cost = harm + CostModel.lateLoss(work, work.age().toMillis() + first, worth);
            if (cost < least) {
                least = cost;
                best = new Part(load, harm, first);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether the target can answer; it must hold the whole prompt unless that is larger than any target. */
    private boolean mayOwn(TargetLoad load, int parts) {
        boolean larger = plannedTokens() > fittingTokens(profile);
        double needed = larger && parts > 1 ? fittingTokens(profile) * LARGE_OWNER_SHARE : plannedTokens();
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

    /** Returns the tokens of context that are planned for at one engine. */
    static long fittingTokens(EngineProfile profile) {
        return (long) (PLANNED_MEMORY * profile.memoryTokens());
    }

    private List<Part> helpers(List<TargetLoad> among, Part owner, double tokens, double millis, int count) {
        List<Part> parts = new ArrayList<>();
        if (count == 0) {
            return parts;
        }
        for (TargetLoad load : among) {
            if (load == owner.load() || !mayHelp(load) || load.health().isOut()) {
                continue;
            }
            double first = CostModel.firstEventMillis(load, profile, tokens, millis, true);
            double harm =
                    CostModel.harm(load, profile, tokens, millis) + CostModel.delayLoss(load, profile, millis, now);
            parts.add(new Part(load, harm, first));
        }
        parts.sort(Comparator.comparingDouble(
                part -> part.harm() + part.firstMillis() / work.objective().toMillis()));
        return parts.subList(0, Math.min(count, parts.size()));
    }
}
