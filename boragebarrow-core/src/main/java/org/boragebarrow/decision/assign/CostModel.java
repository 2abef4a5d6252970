package org.boragebarrow.decision.assign;

import java.time.Duration;

import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.decision.routing.Patience;

/**
 * Predicts what one more prompt at an engine does to its own caller and to those whose work is there already.
 *
 * <p>Losses are in units of the worth of a short prompt. All methods are pure.
 */
final class CostModel {
    /** What any prompt is worth before its size is looked at. */
    private static final double BASE_WORTH = 0.9;

    /** What each millisecond of an engine's reading adds; the callers' rates of all prompt sizes lie on this line. */
    private static final double WORTH_PER_READ_MILLI = 0.006;

    /** The part of the worth that is lost when the answer is late but whole. */
    private static final double LATE_LOSS = 0.75;

    /** Predicted shares of the objective at which a late answer becomes possible, and certain. */
    private static final double SAFE_SHARE = 0.7;

    private static final double LATE_SHARE = 1.2;

    /** The part of the worth that each objective of time costs: the sooner of two choices wins, also of late ones. */
    private static final double SOONER_GAIN = 0.1;

    /** Any answer that comes is better than none. */
    private static final double MOST_LATE_LOSS = 0.97;

    /** What the way between caller, host and target adds to an answer, in milliseconds. */
    private static final double WAY_MILLIS = 12;

    /** What is kept free of a pass below the pause objective, in milliseconds: links and timers add this much. */
    private static final double PAUSE_MARGIN_MILLIS = 25;

    private CostModel() {}

    static double worth(Work work, EngineProfile profile) {
        long tokens = work.size().map(PromptSize::promptTokens).orElse(0L);
        return BASE_WORTH + WORTH_PER_READ_MILLI * profile.readMillis(tokens);
    }

    /** Returns how long after its arrival a caller leaves that has received nothing, in milliseconds. */
    static double leaveMillis(Work work) {
        return Patience.of(work.objective(), work.pauseObjective()).toMillis();
    }

    /** Returns the time until an engine has read its part and sends the first event, in milliseconds. */
    static double firstEventMillis(
            TargetLoad load, EngineProfile profile, double partTokens, double partMillis, boolean helper) {
        // An engine reads a helper's part before all that is there already.
        double ahead = helper ? 0 : load.backlogMillis();
        double reading = ahead + partMillis;
        double pass = profile.passMillis();
        if (load.writers() == 0) {
            return reading + pass;
        }
        double present = pass + load.passReadMillis(profile, 0, 0);
        double passRead = Math.max(1, load.passReadMillis(profile, partTokens, partMillis));
        double passes = Math.ceil(reading / passRead);
        return present / 2 + reading + passes * pass;
    }

    /** Returns the expected loss of a caller whose first event comes after the given time from its arrival. */
    static double lateLoss(Work work, double totalMillis, double worth) {
        double total = totalMillis + WAY_MILLIS;
        if (total > leaveMillis(work)) {
            return worth;
        }
        double share = total / Math.max(1, work.objective().toMillis());
        double late = Math.min(1, Math.max(0, (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE)));
        return worth * Math.min(MOST_LATE_LOSS, LATE_LOSS * late + SOONER_GAIN * share);
    }

    /** Returns what those lose that still read at an engine when a helper's part goes ahead of them. */
    static double delayLoss(TargetLoad load, EngineProfile profile, double partMillis, long now) {
        double ahead = load.helperBacklogMillis();
        double loss = 0;
        for (HeldWork part : load.held()) {
            if (part.isHelper() || part.readLeft() <= 0) {
                continue;
            }
            ahead += part.readLeft();
            double first = part.ageMillis(now) + ahead;
            double worth = worth(part.work(), profile);
            loss += lateLoss(part.work(), first + partMillis, worth) - lateLoss(part.work(), first, worth);
        }
        return loss;
    }

    /** Returns what those who write at the engine lose if a part is read there. */
    static double harm(TargetLoad load, EngineProfile profile, double partTokens, double partMillis) {
        double before = profile.passMillis() + load.passReadMillis(profile, 0, 0);
        double after = profile.passMillis() + load.passReadMillis(profile, partTokens, partMillis);
        double loss = 0;
        for (HeldWork part : load.held()) {
            if (part.isHelper() || part.work().pauseObjective().isEmpty()) {
                continue;
            }
            // Work that still reads will write beside the rest of what is added.
            double exposed = part.isWriting() ? 1 : Math.min(1, partMillis / Math.max(1, part.readLeft() + partMillis));
            double lost = pauseLoss(part.work(), after) - pauseLoss(part.work(), before);
            loss += exposed * lost * worth(part.work(), profile);
        }
        return loss;
    }

    /** Returns the part of its worth that work loses by a pause: callers leave after a very long one. */
    private static double pauseLoss(Work work, double millis) {
        double objective = work.pauseObjective().map(Duration::toMillis).orElse(Long.MAX_VALUE) - PAUSE_MARGIN_MILLIS;
        if (millis <= objective) {
            return 0;
        }
        return millis <= leaveMillis(work) - PAUSE_MARGIN_MILLIS ? LATE_LOSS : 1;
    }

    /** Returns the loss of a prompt that itself will write beside reading that is already there. */
    static double ownPauseLoss(Work work, TargetLoad load, EngineProfile profile, double firstMillis, double worth) {
        if (work.pauseObjective().isEmpty()) {
            return 0;
        }
        double left = Math.max(0, load.backlogMillis() - firstMillis);
        double bound = work.pauseObjective().get().toMillis() - PAUSE_MARGIN_MILLIS;
        return left + profile.passMillis() > bound ? LATE_LOSS * worth : 0;
    }
}
