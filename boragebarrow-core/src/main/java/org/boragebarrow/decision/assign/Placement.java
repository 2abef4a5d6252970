package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * Chooses targets so that all callers together lose least.
 *
 * <p>Short prompts share few engines, so that others stay free of writers whose pauses a long prompt would stretch; a
 * long prompt is read by as many engines as brings it inside its objective. Stateless.
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

    /** What each helper costs: one more target whose failure breaks the request off. */
    private static final double HELPER_LOSS = 0.01;

    /** What crossing zones costs: bytes between zones. */
    private static final double CROSSING_LOSS = 0.01;

    /** What a short prompt loses at an engine without writers: it takes the place of a long one. */
    private static final double OPENING_LOSS = 0.05;

    /** The pause objective up to which a prompt counts as sensitive to others' reading, in milliseconds. */
    private static final long SENSITIVE_PAUSE_MILLIS = 400;

    private Placement() {}

    /** A possible assignment with what is lost by it. */
    record Choice(Assignment assignment, double loss, boolean hopeless) {}

    private record Part(TargetLoad load, double harm, double firstMillis) {}

    /** Returns the plain target with the smallest share of its slots in use, of the work's zone where it hardly matters. */
    static Optional<TargetLoad> leastBusy(Work work, List<TargetLoad> candidates) {
        TargetLoad best = null;
        double least = Double.MAX_VALUE;
        for (TargetLoad load : candidates) {
            FleetTarget target = load.target();
            if (load.owned() >= target.slots()) {
                continue;
            }
            double share = (double) load.owned() / target.slots();
            double crossing = target.zone().equals(work.zone()) ? 0 : 0.2;
            double cost = share + crossing + (load.health().isOut() ? 1 : 0);
            if (cost < least) {
                least = cost;
                best = load;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the choice with the least loss, or empty if no candidate has room. */
    static Optional<Choice> best(Work work, PromptSize size, EngineProfile profile, List<TargetLoad> candidates) {
        Choice best = null;
        double readMillis = profile.readMillis(size.promptTokens());
        int most = readMillis < MIN_SPLIT_MILLIS ? 1 : Math.min(MAX_HELPERS + 1, candidates.size());
        for (int parts = 1; parts <= most; parts++) {
            Optional<Choice> choice = split(work, size, profile, candidates, parts);
            if (choice.isPresent() && (best == null || choice.get().loss() < best.loss())) {
                best = choice.get();
            }
        }
        return Optional.ofNullable(best);
    }

    private static Optional<Choice> split(
            Work work, PromptSize size, EngineProfile profile, List<TargetLoad> candidates, int parts) {
        double tokens = (double) size.promptTokens() / parts;
        double millis = profile.readMillis(size.promptTokens()) / parts;
        double worth = CostModel.worth(work, profile);
        Optional<Part> owner = owner(work, size, profile, candidates, tokens, millis, worth);
        if (owner.isEmpty()) {
            return Optional.empty();
        }
        List<Part> helpers = helpers(work, profile, candidates, owner.get(), tokens, millis, parts - 1);
        if (helpers.size() < parts - 1) {
            return Optional.empty();
        }
        double first = owner.get().firstMillis();
        double loss = owner.get().harm();
        ImmutableList.Builder<FleetTarget> targets = ImmutableList.builder();
        for (Part helper : helpers) {
            first = Math.max(first, helper.firstMillis());
            loss += helper.harm() + HELPER_LOSS;
            targets.add(helper.load().target());
        }
        loss += CostModel.ownLoss(work, first, worth);
        boolean hopeless = work.age().toMillis() + first > CostModel.leaveMillis(work)
                || first > work.remaining().toMillis();
        Assignment assignment =
                new Assignment(owner.get().load().target(), targets.build(), Duration.ofMillis(Math.round(first)));
        return Optional.of(new Choice(assignment, loss, hopeless));
    }

    private static Optional<Part> owner(
            Work work,
            PromptSize size,
            EngineProfile profile,
            List<TargetLoad> candidates,
            double tokens,
            double millis,
            double worth) {
        Part best = null;
        double least = Double.MAX_VALUE;
        boolean sensitive = work.pauseObjective()
                .map(pause -> pause.toMillis() <= SENSITIVE_PAUSE_MILLIS)
                .orElse(false);
        for (TargetLoad load : candidates) {
            if (!hasRoom(load, size, profile)) {
                continue;
            }
            double first = CostModel.firstEventMillis(load, profile, tokens, millis, false);
            double harm = CostModel.harm(load, profile, tokens, millis) + side(work, load, sensitive);
            harm += CostModel.ownPauseLoss(work, load, profile, first, worth);
            double cost = harm + CostModel.ownLoss(work, first, worth);
            if (cost < least) {
                least = cost;
                best = new Part(load, harm, first);
            }
        }
        return Optional.ofNullable(best);
    }

    private static double side(Work work, TargetLoad load, boolean sensitive) {
        double loss = load.target().zone().equals(work.zone()) ? 0 : CROSSING_LOSS;
        loss += load.health().isOut() ? 1 : 0;
        return sensitive && load.owned() == 0 ? loss + OPENING_LOSS : loss;
    }

    /** Returns whether the target can take one more request of the size. */
    static boolean hasRoom(TargetLoad load, PromptSize size, EngineProfile profile) {
        double planned = size.promptTokens() + ANSWER_MARGIN * size.answerTokens() + load.memoryTokens();
        return load.owned() < load.target().slots() && planned <= fittingTokens(profile);
    }

    /** Returns the tokens of context that are planned for at one engine. */
    static double fittingTokens(EngineProfile profile) {
        return PLANNED_MEMORY * profile.memoryTokens();
    }

    private static List<Part> helpers(
            Work work,
            EngineProfile profile,
            List<TargetLoad> candidates,
            Part owner,
            double tokens,
            double millis,
            int count) {
        List<Part> parts = new ArrayList<>();
        if (count == 0) {
            return parts;
        }
        for (TargetLoad load : candidates) {
            if (load == owner.load()
                    || load.helping() >= load.target().slots()
                    || load.health().isOut()) {
                continue;
            }
            double first = CostModel.firstEventMillis(load, profile, tokens, millis, true);
            double harm = CostModel.harm(load, profile, tokens, millis) + delayOfReaders(load, millis, profile);
            parts.add(new Part(load, harm, first));
        }
        parts.sort(Comparator.comparingDouble(part -> part.harm() + part.firstMillis() / 1_000));
        return parts.subList(0, Math.min(count, parts.size()));
    }

    /** Returns what those lose that still read at the target, as a helper's part goes ahead of them. */
    private static double delayOfReaders(TargetLoad load, double millis, EngineProfile profile) {
        double loss = 0;
        for (HeldWork part : load.held()) {
            if (part.isHelper() || part.isWriting() || part.readLeft() <= 0) {
                continue;
            }
            double objective = Math.max(1, part.work().objective().toMillis());
            loss += Math.min(1, millis / objective) * CostModel.worth(part.work(), profile);
        }
        return loss;
    }
}
