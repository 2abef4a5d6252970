package org.boragebarrow.decision.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The published capacity and performance of a service's model engines.
 *
 * @param slots the requests that one engine processes concurrently
 * @param memoryTokens the context that one engine can store, in tokens
 * @param stepMillis the duration of one decode step, without the additions below
 * @param stepMillisPerSequence the time that each decoding request adds to a step
 * @param stepMillisPerThousandTokens the time that each thousand context tokens of a decoding request add to a step
 * @param prefillTokensPerMilli the prompt tokens that an engine prefills per millisecond
 * @param prefillMillisPerMillionPairs the time that a million pairs of a token and an earlier token add to the prefill
 * @param chunkTokens the most prompt tokens that one step prefills
 * @param stepsPerPass the steps of one pass, after which events are sent and new requests are admitted
 * @param meanAnswerTokens the mean length of an answer
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        double stepMillis,
        double stepMillisPerSequence,
        double stepMillisPerThousandTokens,
        double prefillTokensPerMilli,
        double prefillMillisPerMillionPairs,
        int chunkTokens,
        int stepsPerPass,
        int meanAnswerTokens) {
    private static final double PAIRS_PER_UNIT = 1e6;

    public EngineProfile {
        checkArgument(slots > 0, "slots must be positive: %s", slots);
        checkArgument(prefillTokensPerMilli > 0, "prefill speed must be positive: %s", prefillTokensPerMilli);
    }

    /** Returns the time in which one otherwise idle engine prefills a complete prompt, in milliseconds. */
    public double prefillMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2 / PAIRS_PER_UNIT;
        return tokens / prefillTokensPerMilli + pairs * prefillMillisPerMillionPairs;
    }

    /** Returns the duration of a pass without prefill, in milliseconds. */
    public double decodePassMillis() {
        return stepsPerPass * stepMillis;
    }

    /** Returns the most prefill work that one pass holds, without the time for token pairs, in milliseconds. */
    public double passPrefillMillis() {
        return (double) stepsPerPass * chunkTokens / prefillTokensPerMilli;
    }
}
