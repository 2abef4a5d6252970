package org.boragebarrow.decision.dispatch;

import java.util.Arrays;

import org.boragebarrow.model.LengthClass;

/** Learns how much slower engines answer than they report, as batches and prefill slow decoding down. */
final class Pace {
    private static final double NEW_PART = 0.05;
    private static final double MOST = 30;
    private static final int LEAST_TOKENS = 8;

    private final double[] factors = new double[LengthClass.values().length];

    Pace() {
        Arrays.fill(factors, 1);
    }

    /** Notes the time that a whole answer took on an engine, from its grant. */
    void onAnswer(EngineView engine, Grant grant, int answerTokens, long nowNanos) {
        if (answerTokens < LEAST_TOKENS) {
            return;
        }
        double seconds = (nowNanos - grant.grantedAtNanos) / 1e9 - grant.prefillEach / engine.prefillRate();
        double factor = Math.clamp(seconds * engine.decodeRate() / answerTokens, 1, MOST);
        int i = grant.lengthClass.ordinal();
        factors[i] += NEW_PART * (factor - factors[i]);
    }

    /** Returns by what the reported time of an answer is to be multiplied. */
    double factor(LengthClass lengthClass) {
        return factors[lengthClass.ordinal()];
    }
}
