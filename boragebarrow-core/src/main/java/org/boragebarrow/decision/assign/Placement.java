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
 * Chooses engines for one prompt so that all callers together lose least.
 *
 * <p>Short prompts share few engines, so that others stay free of writers whose pauses a long prompt would stretch; a
 * long prompt is read by as many engines as brings it inside its objective.
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

    /** What a short prompt loses at an engine without other work: it takes the place of a long one. */
    private static final double OPENING_LOSS = 0.05;

    /** What any prompt loses at an engine that failed lately. */
    private static final double FAILING_LOSS = 1;

    /** The pause objective up to which a prompt counts as sensitive to others' reading, in milliseconds. */
    private static final long SENSITIVE_PAUSE_MILLIS = 400;

    private final Work work;
    private final PromptSize size;
    private final EngineProfile profile;
    private final List<TargetLoad> candidates;
    private final long now;
    private final double readMillis;
    private final double worth;
    private final boolean sensitive;

    Placement(Work work, PromptSize size, EngineProfile profile, List<TargetLoad> candidates, long now) {
        this.work = work;
        this.size = size;
        this.profile = profile;
        this.candidates = candidates;
        this.now = now;
        this.readMillis = profile.readMillis(size.promptTokens());
        this.worth = CostModel.worth(work, profile);
        this.sensitive = work.pauseObjective()
                .map(pause -> pause.toMillis() <= SENSITIVE_PAUSE_MILLIS)
                .orElse(false);
    }

    /** A possible assignment with what is lost by it. */
    record Choice(Assignment assignment, double loss, boolean hopeless) {}

    private record Part(TargetLoad load, double harm, double firstMillis) {}

    /** Returns the choice with the least loss, or empty if no candidate has room. */
    Optional<Choice> best() {
        Choice best = null;
        int most = readMillis < MIN_SPLIT_MILLIS ? 1 : Math.min(MAX_HELPERS + 1, candidates.size());
        for (int parts = 1; parts <= most; parts++) {
            Optional<Choice> choice = split(parts);
            if (choice.isPresent() && (best == null || choice.get().loss() < best.loss())) {
                best = choice.get();
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<Choice> split(int parts) {
        double tokens = (double) size.promptTokens() / parts;
        double millis = readMillis / parts;
        Optional<Part> owner = owner(tokens, millis);
        if (owner.isEmpty()) {
            return Optional.empty();
        }
        List<Part> helpers = helpers(owner.get(), tokens, millis, parts - 1);
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
        double total = work.age().toMillis() + first;
        loss += CostModel.lateLoss(work, total, worth);
        boolean hopeless =
                total > CostModel.leaveMillis(work) || first > work.remaining().toMillis();
        Assignment assignment =
                new Assignment(owner.get().load().target(), targets.build(), Duration.ofMillis(Math.round(first)));
        return Optional.of(new Choice(assignment, loss, hopeless));
    }

    private Optional<Part> owner(double tokens, double millis) {
        Part best = null;
        double least = Double.MAX_VALUE;
        for (TargetLoad load : candidates) {
            if (!hasRoom(load)) {
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

    private double sideLoss(TargetLoad load) {
        double loss = load.target().zone().equals(work.zone()) ? 0 : CROSSING_LOSS;
        loss += load.health().isOut() ? FAILING_LOSS : 0;
        return sensitive && load.owned() == 0 ? loss + OPENING_LOSS : loss;
    }

    private boolean hasRoom(TargetLoad load) {
        double planned = size.promptTokens() + ANSWER_MARGIN * size.answerTokens() + load.memoryTokens();
        return load.owned() < load.target().slots() && planned <= fittingTokens(profile);
    }

    /** Returns the tokens of context that are planned for at one engine. */
    static double fittingTokens(EngineProfile profile) {
        return PLANNED_MEMORY * profile.memoryTokens();
    }

    private List<Part> helpers(Part owner, double tokens, double millis, int count) {
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
            double harm =
                    CostModel.harm(load, profile, tokens, millis) + CostModel.delayLoss(load, profile, millis, now);
            parts.add(new Part(load, harm, first));
        }
        parts.sort(Comparator.comparingDouble(
                part -> part.harm() + part.firstMillis() / work.objective().toMillis()));
        return parts.subList(0, Math.min(count, parts.size()));
    }
}
