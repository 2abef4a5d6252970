package org.boragebarrow.decision.assign;

import java.time.Duration;

import org.boragebarrow.decision.routing.AbandonmentTime;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * Predicts the loss that one more prompt at an engine causes to its own caller and to the callers of work already
 * there.
 *
 * <p>Losses and values are in units of the value of a short prompt. All methods are pure.
 */
final class CostModel {
    /** Value of any prompt, independent of its size. */
    private static final double BASE_VALUE = 0.9;

    /** Value added per thousand prompt tokens; callers' rates for prompts of 200,000 tokens and more lie near it. */
    private static final double VALUE_PER_THOUSAND_TOKENS = 0.08;

    /** Fraction of the value that is lost when the answer is late but complete. */
    private static final double LATE_LOSS = 0.75;

    /** Predicted time to first event, as a fraction of the objective, above which the answer may be late. */
    private static final double LATE_POSSIBLE_FRACTION = 0.7;

    /** Predicted time to first event, as a fraction of the objective, from which the answer is certain to be late. */
    private static final double LATE_CERTAIN_FRACTION = 1.2;

    /**
     * Fraction of the value that is lost in a time as long as the objective, so that the earlier of two choices is
     * preferred even if both are late.
     */
    private static final double LOSS_PER_OBJECTIVE = 0.1;

    /** Maximum fraction of the value lost by lateness: a late answer is better than none. */
    private static final double MAX_LATE_LOSS = 0.97;

    /** Latency that the network between caller, host and target adds to an answer, in milliseconds. */
    private static final double NETWORK_MILLIS = 12;

    /** Margin between a pass and the pause objective, in milliseconds: network and timers add this much to a pause. */
    private static final double PAUSE_MARGIN_MILLIS = 25;

    private CostModel() {}

    static double value(Work work, EngineProfile profile) {
        long tokens = work.size().map(PromptSize::promptTokens).orElse(0L);
        return BASE_VALUE + VALUE_PER_THOUSAND_TOKENS * tokens / 1_000;
    }

    /** Returns the time from arrival after which a caller that has received nothing disconnects, in milliseconds. */
    static double abandonmentMillis(Work work) {
        return AbandonmentTime.of(work.objective(), work.pauseObjective()).toMillis();
    }

    /** Returns the time until an engine has prefilled its part and sends the first event, in milliseconds. */
    static double firstEventMillis(
            TargetLoad load, EngineProfile profile, double partTokens, double partMillis, boolean helper) {
        // An engine prefills a helper's part before everything already queued there.
        double ahead = helper ? 0 : load.prefillBacklogMillis();
        double prefill = ahead + partMillis;
        double pass = profile.decodePassMillis();
        if (load.decodingCount() == 0) {
            return load.slowness() * (prefill + pass);
        }
        double currentPass = pass + load.passPrefillMillis(profile, 0, 0);
        double passPrefill = Math.max(1, load.passPrefillMillis(profile, partTokens, partMillis));
        double passes = Math.ceil(prefill / passPrefill);
        return load.slowness() * (currentPass / 2 + prefill + passes * pass);
    }

    /** Returns the expected loss of a caller whose first event comes the given time after its arrival. */
    static double lateLoss(Work work, double totalMillis, double value) {
        double total = totalMillis + NETWORK_MILLIS;
        if (total > abandonmentMillis(work)) {
            return value;
        }
        double fraction = total / Math.max(1, work.objective().toMillis());
        double late = Math.min(
                1, Math.max(0, (fraction - LATE_POSSIBLE_FRACTION) / (LATE_CERTAIN_FRACTION - LATE_POSSIBLE_FRACTION)));
        return value * Math.min(MAX_LATE_LOSS, LATE_LOSS * late + LOSS_PER_OBJECTIVE * fraction);
    }

    /** Returns the additional loss of prompts in prefill at an engine if a helper's part is prefilled before them. */
    static double delayLoss(TargetLoad load, EngineProfile profile, double partMillis, long now) {
        double ahead = load.helperPrefillBacklogMillis();
        double loss = 0;
        for (AttemptPart part : load.parts()) {
            if (part.isHelper() || part.remainingPrefillMillis() <= 0) {
                continue;
            }
            ahead += part.remainingPrefillMillis();
            double first = part.ageMillis(now) + ahead;
            double value = value(part.work(), profile);
            loss += lateLoss(part.work(), first + partMillis, value) - lateLoss(part.work(), first, value);
        }
        return loss;
    }

    /** Returns the additional loss of answers that the engine decodes if a part is prefilled there. */
    static double interferenceLoss(TargetLoad load, EngineProfile profile, double partTokens, double partMillis) {
        double slowness = load.slowness();
        double before = slowness * (profile.decodePassMillis() + load.passPrefillMillis(profile, 0, 0));
        double after =
                slowness * (profile.decodePassMillis() + load.passPrefillMillis(profile, partTokens, partMillis));
        double loss = 0;
        for (AttemptPart part : load.parts()) {
            if (part.isHelper() || part.work().pauseObjective().isEmpty()) {
                continue;
            }
            // Work still in prefill will decode concurrently with the remainder of the added part.
            double exposed = part.isDecoding()
                    ? 1
                    : Math.min(1, partMillis / Math.max(1, part.remainingPrefillMillis() + partMillis));
            double lostFraction = pauseLossFraction(part.work(), after) - pauseLossFraction(part.work(), before);
            loss += exposed * lostFraction * value(part.work(), profile);
        }
        return loss;
    }

    /** Returns the fraction of its value that work loses by a pause: callers disconnect after a very long one. */
    private static double pauseLossFraction(Work work, double millis) {
        double objective = work.pauseObjective().map(Duration::toMillis).orElse(Long.MAX_VALUE) - PAUSE_MARGIN_MILLIS;
        if (millis <= objective) {
            return 0;
        }
        return millis <= abandonmentMillis(work) - PAUSE_MARGIN_MILLIS ? LATE_LOSS : 1;
    }

    /** Returns the loss of a prompt whose own decoding will be interrupted by prefill already queued at the target. */
    static double ownPauseLoss(Work work, TargetLoad load, EngineProfile profile, double firstMillis, double value) {
        if (work.pauseObjective().isEmpty()) {
            return 0;
        }
        double slowness = load.slowness();
        double remaining = Math.max(0, slowness * load.prefillBacklogMillis() - firstMillis);
        double bound = work.pauseObjective().get().toMillis() - PAUSE_MARGIN_MILLIS;
        return remaining + slowness * profile.decodePassMillis() > bound ? LATE_LOSS * value : 0;
    }
}
