package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * The predicted state of the part of an attempt that one target processes.
 *
 * <p>Not thread-safe. Prefill is measured in milliseconds of a target that does nothing else.
 */
final class AttemptPart {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Work work;
    private final boolean helper;
    private final double prefillTokens;
    private final double prefillMillis;
    private final long arrivedAt;
    private final long memoryTokens;
    private final boolean split;
    private final long assignedAt;
    private boolean timed = true;
    private long prefilledAt;
    private double longestPassMillis;
    private double expectedMillis;
    private double lateAfterMillis = Double.MAX_VALUE;
    private double remainingPrefillMillis;
    private double announcedPauseMillis;
    private boolean decoding;
    private boolean prefillFinished;

    private AttemptPart(
            Work work,
            boolean helper,
            double prefillTokens,
            double prefillMillis,
            long memoryTokens,
            int parts,
            long now) {
        this.work = work;
        this.helper = helper;
        this.prefillTokens = prefillTokens;
        this.prefillMillis = prefillMillis;
        this.memoryTokens = memoryTokens;
        this.arrivedAt = now - work.age().toNanos();
        this.assignedAt = now;
        this.prefilledAt = now;
        this.split = parts > 1;
        this.remainingPrefillMillis = prefillMillis;
    }

    /** Returns the part of the target that answers; the tokens that helpers store are not counted in its memory. */
    static AttemptPart forOwner(
            Work work, ImmutableList<HelperTarget.Ref> helpers, Optional<EngineProfile> profile, long now) {
        long stored = helpers.stream().mapToLong(HelperTarget.Ref::storedTokens).sum();
        long total = work.size().map(PromptSize::totalTokens).orElse(0L);
        return create(work, false, helpers.size() + 1, Math.max(0, total - stored), profile, now);
    }

    /** Returns the part of one of the attempt's {@code helperCount} helpers. */
    static AttemptPart forHelper(
            Work work, HelperTarget.Ref helper, int helperCount, Optional<EngineProfile> profile, long now) {
        return create(work, true, helperCount + 1, helper.storedTokens(), profile, now);
    }

    private static AttemptPart create(
            Work work, boolean helper, int parts, long memory, Optional<EngineProfile> profile, long now) {
        long tokens = work.size().map(PromptSize::promptTokens).orElse(0L);
        double millis = profile.map(p -> p.prefillMillis(tokens)).orElse(0.0);
        return new AttemptPart(work, helper, (double) tokens / parts, millis / parts, memory, parts, now);
    }

    Work work() {
        return work;
    }

    /** Returns the time since the request arrived, in milliseconds. */
    double ageMillis(long now) {
        return (now - arrivedAt) / NANOS_PER_MILLI;
    }

    boolean isHelper() {
        return helper;
    }

    double remainingPrefillMillis() {
        return remainingPrefillMillis;
    }

    boolean isDecoding() {
        return decoding;
    }

    /** Returns the time to prefill the given number of tokens of this part, in milliseconds. */
    double prefillMillis(double tokens) {
        return prefillTokens == 0 ? 0 : prefillMillis * Math.min(tokens, prefillTokens) / prefillTokens;
    }

    double remainingPrefillTokens() {
        return prefillMillis == 0 ? 0 : prefillTokens * remainingPrefillMillis / prefillMillis;
    }

    /** Advances the prefill by up to the given time and returns the unused time, in milliseconds. */
    double prefill(double millis) {
        double used = Math.min(millis, remainingPrefillMillis);
        remainingPrefillMillis -= used;
        return millis - used;
    }

    /** Records when the prefill ended in the prediction, unless it has not ended or had ended before. */
    void endPrefillAt(long time) {
        if (remainingPrefillMillis == 0 && prefillMillis > 0 && prefilledAt == assignedAt) {
            prefilledAt = time;
        }
    }

    /** Returns the time since the assignment, in milliseconds. */
    double elapsedMillis(long now) {
        return (now - assignedAt) / NANOS_PER_MILLI;
    }

    /**
     * Returns the predicted time from the assignment to the end of the prefill, in milliseconds, with what was assigned
     * to the target later.
     */
    double predictedPrefillMillis(long now) {
        return remainingPrefillMillis > 0
                ? elapsedMillis(now) + remainingPrefillMillis
                : (prefilledAt - assignedAt) / NANOS_PER_MILLI;
    }

    /** Records the predicted time to the answer, or to its first event, and the time after which that is late. */
    void expectAnswer(Duration expected, Optional<Duration> lateAfter) {
        expectedMillis = expected.toMillis();
        lateAfter.ifPresent(time -> lateAfterMillis = time.toMillis());
    }

    double expectedMillis() {
        return expectedMillis;
    }

    /** Returns whether the answer has not come although it is later than nearly all such answers. */
    boolean isLate(long now) {
        return !helper && !decoding && elapsedMillis(now) > lateAfterMillis;
    }

    /** Returns the longest pass that was predicted for the target until the first event, in milliseconds. */
    double longestPassMillis() {
        return longestPassMillis;
    }

    /** Records a predicted pass of the target, unless the first event has come. */
    void recordPass(double millis) {
        longestPassMillis = decoding ? longestPassMillis : Math.max(longestPassMillis, millis);
    }

    /** Returns whether the time to its first event shows the pace of its target, as it was assigned here to that alone. */
    boolean showsPace() {
        return timed && !helper && !split;
    }

    /** Returns whether the time since the assignment is known. */
    boolean isAssignedHere() {
        return timed && !helper;
    }

    /** Records that the part was assigned earlier, by another assigner. */
    void setAssignedEarlier() {
        timed = false;
    }

    /** Returns the longest pause of which the host that holds the request was told, in milliseconds. */
    double announcedPauseMillis() {
        return announcedPauseMillis;
    }

    void setAnnouncedPauseMillis(double millis) {
        announcedPauseMillis = millis;
    }

    void startDecoding() {
        remainingPrefillMillis = 0;
        decoding = true;
    }

    /** Records that a helper finished its prefill. */
    void finishPrefill() {
        remainingPrefillMillis = 0;
        prefillFinished = true;
    }

    /** Returns whether a helper is known, rather than predicted, to have finished its prefill. */
    boolean isPrefillFinished() {
        return prefillFinished;
    }

    /** Returns the tokens of context that this part occupies in its target's memory. */
    long memoryTokens() {
        return memoryTokens;
    }
}
