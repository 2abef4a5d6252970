package org.boragebarrow.decision.assign;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.routing.EngineProfile;

/**
 * The predicted state of the part of an attempt that one target processes.
 *
 * <p>Not thread-safe. Prefill is measured in milliseconds of a target that does nothing else.
 */
final class HeldWork {
    private static final double NANOS_PER_MILLI = 1e6;

    private final Work work;
    private final boolean helper;
    private final double readTokens;
    private final double readMillis;
    private final long arrivedAt;
    private final long memoryTokens;
    private double readLeft;
    private boolean writing;
    private boolean finished;

    private HeldWork(
            Work work, boolean helper, double prefillTokens, double prefillMillis, long memoryTokens, long arrivedAt) {
        this.work = work;
        this.helper = helper;
        this.readTokens = prefillTokens;
        this.readMillis = prefillMillis;
        this.memoryTokens = memoryTokens;
        this.arrivedAt = arrivedAt;
        this.readLeft = prefillMillis;
    }

    /** Returns the part of the target that answers; the tokens that helpers store are not counted in its memory. */
    static HeldWork owned(Work work, ImmutableList<Helper.Ref> helpers, Optional<EngineProfile> profile, long now) {
        long stored = helpers.stream().mapToLong(Helper.Ref::storedTokens).sum();
        long total = work.size().map(PromptSize::total).orElse(0L);
        return part(work, false, helpers.size() + 1, Math.max(0, total - stored), profile, now);
    }

    /** Returns the part of a helper; {@code helpers} is the number of helpers of the attempt. */
    static HeldWork helping(Work work, Helper.Ref helper, int helpers, Optional<EngineProfile> profile, long now) {
        return part(work, true, helpers + 1, helper.storedTokens(), profile, now);
    }

    private static HeldWork part(
            Work work, boolean helper, int parts, long memory, Optional<EngineProfile> profile, long now) {
        long tokens = work.size().map(PromptSize::promptTokens).orElse(0L);
        double millis = profile.map(p -> p.readMillis(tokens)).orElse(0.0);
        return new HeldWork(
                work,
                helper,
                (double) tokens / parts,
                millis / parts,
                memory,
                now - work.age().toNanos());
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

    double readLeft() {
        return readLeft;
    }

    boolean isWriting() {
        return writing;
    }

    /** Returns the time to prefill the given number of tokens of this part, in milliseconds. */
    double readMillis(double tokens) {
        return readTokens == 0 ? 0 : readMillis * Math.min(tokens, readTokens) / readTokens;
    }

    double tokensLeft() {
        return readMillis == 0 ? 0 : readTokens * readLeft / readMillis;
    }

    /** Advances the prefill by up to the given time and returns the unused time, in milliseconds. */
    double read(double millis) {
        double used = Math.min(millis, readLeft);
        readLeft -= used;
        return millis - used;
    }

    void startWriting() {
        readLeft = 0;
        writing = true;
    }

    /** Records that a helper finished its prefill. */
    void endReading() {
        readLeft = 0;
        finished = true;
    }

    /** Returns whether a helper is known, rather than predicted, to have finished its prefill. */
    boolean isFinished() {
        return finished;
    }

    /** Returns the tokens of context that this part occupies in its target's memory. */
    long memoryTokens() {
        return memoryTokens;
    }
}
