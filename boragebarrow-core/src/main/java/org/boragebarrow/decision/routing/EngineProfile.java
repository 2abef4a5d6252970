package org.boragebarrow.decision.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The published capacity and performance of a service's model engines.
 *
 * @param slots the requests that one engine processes concurrently
 * @param memoryTokens the context that one engine can store, in tokens
 * @param stepMillis the duration of one decode step, without the additions below
 * @param stepMillisPerWriter the time that each decoding request adds to a step
 * @param stepMillisPerThousandTokens the time that each thousand context tokens of a decoding request add to a step
 * @param readTokensPerMilli the prompt tokens that an engine prefills per millisecond
 * @param pairMillisPerMillion the time that a million pairs of a token and an earlier token add to the prefill
 * @param chunkTokens the most prompt tokens that one step prefills
 * @param stride the steps of one pass, after which events are sent and new requests are admitted
 * @param usualAnswerTokens the mean length of an answer
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        double stepMillis,
        double stepMillisPerWriter,
        double stepMillisPerThousandTokens,
        double readTokensPerMilli,
        double pairMillisPerMillion,
        int chunkTokens,
        int stride,
        int usualAnswerTokens) {
    private static final double PAIRS_PER_UNIT = 1e6;

    public EngineProfile {
        checkArgument(slots > 0, "slots must be positive: %s", slots);
        checkArgument(readTokensPerMilli > 0, "prefill speed must be positive: %s", readTokensPerMilli);
    }

    /** Returns the time in which one otherwise idle engine prefills a whole prompt, in milliseconds. */
    public double readMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2 / PAIRS_PER_UNIT;
        return tokens / readTokensPerMilli + pairs * pairMillisPerMillion;
    }

    /** Returns the duration of a pass without prefill, in milliseconds. */
    public double passMillis() {
        return stride * stepMillis;
    }

    /** Returns the most prefill work that one pass holds, without the time for token pairs, in milliseconds. */
    public double passReadMillis() {
        return (double) stride * chunkTokens / readTokensPerMilli;
    }
}
