package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.boragebarrow.decision.pace.UsualTimes;
import org.boragebarrow.decision.pace.UsualTimes.RequestClass;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.ServiceName;

/**
 * Learns from the attempts of a region how long answers take, and records at each target how its own compare.
 *
 * <p>A prompt's first event is compared with the prediction, with all prefill that was assigned to the target until it
 * came; a call with other calls of the same objective. Not thread-safe. Times are monotonic nanoseconds.
 */
final class AnswerTimes {
    /** Messages between host and assigner, and the connection to the target, in milliseconds. */
    private static final double NETWORK_MILLIS = 25;

    /** The time in which the weight of an answer halves: long enough for a service with one call a second. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(10);

    private static final double MEDIAN = 0.5;

    /** Times up to this multiple of the longest predicted one are no evidence against a target. */
    private static final double MAX_EXPLAINED_RATIO = 1.5;

    /** The smallest usual ratio: targets that are that much faster than predicted are not slow at twice of it. */
    private static final double MIN_USUAL_RATIO = 0.3;

    /** Answers that take longer than this fraction of them are late. */
    private static final double LATE_QUANTILE = 0.95;

    /** An answer that is late by less than this factor is likely to come at once. */
    private static final double LATE_MARGIN = 1.2;

    /** An answer is not late before this multiple of the median: among answers of like times, none is slow. */
    private static final double MIN_LATE_RATIO = 1.5;

    private final UsualTimes paces = new UsualTimes(HALF_LIFE);
    private final UsualTimes delays = new UsualTimes(HALF_LIFE);

    /** Records the first event of the prompt's answer; must be called before the prefill is recorded as ended. */
    void onFirstEvent(TargetLoad owner, AttemptId id, Map<ServiceName, EngineProfile> profiles, long now) {
        EngineProfile profile = profiles.get(owner.target().service());
        if (profile == null) {
            return;
        }
        owner.find(id)
                .filter(part -> part.isAssignedHere() && !part.isDecoding())
                .ifPresent(part -> {
                    double expected = part.expectedMillis() + NETWORK_MILLIS;
                    delays.record(sizeClassOf(part.work(), true), part.elapsedMillis(now) / expected, now);
                });
        owner.find(id).filter(part -> part.showsPace() && !part.isDecoding()).ifPresent(part -> {
            RequestClass requests = classOf(part.work(), true);
            double ratio = predictionRatio(part, profile, now);
            paces.record(requests, ratio, now);
            OptionalDouble usual = paces.quantile(requests, MEDIAN, now);
            usual.ifPresent(median -> owner.pace().record(unexplained(ratio, median), now));
        });
    }

    /** Records the end of an attempt whose part was removed from the target. */
    void onEnd(
            TargetLoad owner, AttemptPart part, Outcome outcome, Map<ServiceName, EngineProfile> profiles, long now) {
        if (!part.showsPace()) {
            return;
        }
        EngineProfile profile = profiles.get(owner.target().service());
        RequestClass requests = classOf(part.work(), profile != null);
        boolean missing = outcome == Outcome.WITHDRAWN || outcome == Outcome.SILENT;
        if (profile != null) {
            OptionalDouble usual = paces.quantile(requests, MEDIAN, now);
            if (missing && !part.isDecoding() && usual.isPresent()) {
                double ratio = predictionRatio(part, profile, now);
                owner.pace().recordMissing(unexplained(ratio, usual.getAsDouble()), now);
            }
            return;
        }
        double millis = Math.max(1, part.elapsedMillis(now));
        if (outcome == Outcome.SUCCEEDED) {
            paces.record(requests, millis, now);
            delays.record(sizeClassOf(part.work(), false), millis, now);
        }
        OptionalDouble usual = paces.quantile(requests, MEDIAN, now);
        if (usual.isPresent() && outcome == Outcome.SUCCEEDED) {
            owner.pace().record(millis / usual.getAsDouble(), now);
        } else if (usual.isPresent() && missing) {
            owner.pace().recordMissing(millis / usual.getAsDouble(), now);
        }
    }

    /**
     * Returns the time from the assignment after which the first event of a prompt, or the answer to a call, is later than
     * nearly all of its class lately; empty if too little is known.
     *
     * @param predicted the predicted time to the first event of a prompt
     */
    Optional<Duration> lateAfter(Work work, boolean prompt, Duration predicted, long now) {
        RequestClass requests = sizeClassOf(work, prompt);
        OptionalDouble median = delays.quantile(requests, MEDIAN, now);
        OptionalDouble late = delays.quantile(requests, LATE_QUANTILE, now);
        if (median.isEmpty() || late.isEmpty()) {
            return Optional.empty();
        }
        double time = Math.max(LATE_MARGIN * late.getAsDouble(), MIN_LATE_RATIO * median.getAsDouble());
        double millis = prompt ? time * (predicted.toMillis() + NETWORK_MILLIS) : time;
        return Optional.of(Duration.ofMillis((long) Math.ceil(millis)));
    }

    private static RequestClass sizeClassOf(Work work, boolean prompt) {
        long tokens = prompt ? work.size().map(PromptSize::promptTokens).orElse(0L) : 0;
        LengthClass size = LengthClass.of((int) Math.min(tokens, Integer.MAX_VALUE));
        return new RequestClass(work.service(), size.ordinal(), work.objective().toMillis());
    }

    private static RequestClass classOf(Work work, boolean prompt) {
        return new RequestClass(work.service(), 0, prompt ? 0 : work.objective().toMillis());
    }

    /** Returns the time from the assignment relative to the longest that the prediction explains. */
    private static double predictionRatio(AttemptPart part, EngineProfile profile, long now) {
        // The prompt waits for the pass in progress, and its first event for the end of a pass that decodes.
        double passes = part.longestPassMillis() + profile.decodePassMillis();
        return part.elapsedMillis(now) / (part.predictedPrefillMillis(now) + passes + NETWORK_MILLIS);
    }

    private static double unexplained(double ratio, double usual) {
        return ratio <= MAX_EXPLAINED_RATIO ? 1 : ratio / Math.max(MIN_USUAL_RATIO, usual);
    }

    /** Records the passes that a target needs for the prefill that was assigned to it. */
    static void onPrefillAdded(TargetLoad load, EngineProfile profile) {
        double pass = profile.decodePassMillis() + load.passPrefillMillis(profile, 0, 0);
        load.parts().forEach(part -> part.recordPass(pass));
    }
}
