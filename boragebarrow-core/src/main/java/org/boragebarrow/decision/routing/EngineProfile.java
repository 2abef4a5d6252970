package org.boragebarrow.decision.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The published speed and size of a service's model engines.
 *
 * @param slots requests that one engine works on at once
 * @param memoryTokens tokens of context that one engine holds
 * @param stepMillis time of one token step
 * @param stepMillisPerWriter what each request that is writing adds to a step
 * @param stepMillisPerThousandTokens what each thousand tokens of a writing request's context add to a step
 * @param readTokensPerMilli prompt tokens that are read in a millisecond
 * @param pairMillisPerMillion what a million pairs of a token and an earlier one add to reading
 * @param chunkTokens prompt tokens that one step reads at most
 * @param stride steps of one pass, after which events are sent and new requests are admitted
 * @param usualAnswerTokens mean length of an answer
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
        checkArgument(readTokensPerMilli > 0, "reading speed must be positive: %s", readTokensPerMilli);
    }

    /** Returns how long an engine takes to read a whole prompt alone, in milliseconds. */
    public double readMillis(long tokens) {
        double pairs = (double) tokens * tokens / 2 / PAIRS_PER_UNIT;
        return tokens / readTokensPerMilli + pairs * pairMillisPerMillion;
    }

    /** Returns how long a pass takes in which nothing is read, in milliseconds. */
    public double passMillis() {
        return stride * stepMillis;
    }

    /** Returns the most reading that one pass holds, pairs aside, in milliseconds. */
    public double passReadMillis() {
        return (double) stride * chunkTokens / readTokensPerMilli;
    }
}
