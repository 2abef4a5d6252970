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
    /** Maximum number of engines that prefill one prompt together: the one that answers and its helpers. */
    public static final int MAX_PREFILL_ENGINES = 16;

    private static final double PAIRS_PER_UNIT = 1e6;
    private static final double TOKENS_PER_UNIT = 1e3;

    public EngineProfile {
        checkArgument(slots > 0, "slots must be positive: %s", slots);
        checkArgument(prefillTokensPerMilli > 0, "prefill speed must be positive: %s", prefillTokensPerMilli);
    }

    /** Returns the time in which one otherwise idle engine prefills a complete prompt, in milliseconds. */
    public double prefillMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2 / PAIRS_PER_UNIT;
        return tokens / prefillTokensPerMilli + pairs * prefillMillisPerMillionPairs;
    }

    /**
     * Returns the shortest time in which a service prefills a prompt, in milliseconds.
     *
     * @param engines the number of the service's engines
     */
    public double shortestPrefillMillis(long tokens, int engines) {
        return prefillMillis(tokens) / Math.min(MAX_PREFILL_ENGINES, Math.max(1, engines));
    }

    /** Returns the time in which an otherwise idle engine decodes an answer, in milliseconds. */
    public double answerMillis(long promptTokens, long answerTokens) {
        double context = promptTokens / TOKENS_PER_UNIT * stepMillisPerThousandTokens;
        return answerTokens * (stepMillis + stepMillisPerSequence + context);
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
