package org.boragebarrow.decision.dispatch;

import java.util.Arrays;

import org.boragebarrow.model.LengthClass;

/**
 * Estimates by which factor engines decode slower than they report, as batching and concurrent prefill slow decoding
 * down.
 *
 * <p>The factor of each length class is an exponentially weighted moving average.
 */
final class DecodeSlowdown {
    private static final double SMOOTHING = 0.05;
    private static final double MAX_FACTOR = 30;
    private static final int MIN_ANSWER_TOKENS = 8;

    private final double[] factors = new double[LengthClass.values().length];

    DecodeSlowdown() {
        Arrays.fill(factors, 1);
    }

    /** Updates the estimate with the time from the grant to the end of a completed answer. */
    void onAnswer(EngineView engine, Grant grant, int answerTokens, long nowNanos) {
        if (answerTokens < MIN_ANSWER_TOKENS) {
            return;
        }
        double seconds = (nowNanos - grant.grantedAtNanos) / 1e9 - grant.prefillTokensPerEngine / engine.prefillRate();
        double factor = Math.clamp(seconds * engine.decodeRate() / answerTokens, 1, MAX_FACTOR);
        int i = grant.lengthClass.ordinal();
        factors[i] += SMOOTHING * (factor - factors[i]);
    }

    /** Returns the factor by which to multiply an answer time that is computed from the reported decode rate. */
    double factor(LengthClass lengthClass) {
        return factors[lengthClass.ordinal()];
    }
}
