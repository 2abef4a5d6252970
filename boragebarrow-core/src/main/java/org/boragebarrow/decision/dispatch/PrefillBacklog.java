package org.boragebarrow.decision.dispatch;

import java.util.Arrays;

import org.boragebarrow.model.LengthClass;

/** Predicts an engine's unfinished prefill: work drains at the engine's rate, shorter classes first. */
final class PrefillBacklog {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int CLASSES = LengthClass.values().length;

    private final double[] tokens = new double[CLASSES];
    private long advancedAtNanos;

    /** Lets the engine work until now. */
    void advance(double tokensPerSecond, long nowNanos) {
        if (nowNanos == advancedAtNanos) {
            return;
        }
        double done = (nowNanos - advancedAtNanos) / NANOS_PER_SECOND * tokensPerSecond;
        advancedAtNanos = nowNanos;
        for (int i = 0; i < CLASSES; i++) {
            double drained = Math.min(tokens[i], done);
            tokens[i] -= drained;
            done -= drained;
        }
    }

    void add(LengthClass lengthClass, double added) {
        tokens[lengthClass.ordinal()] += added;
    }

    void remove(LengthClass lengthClass, double removed) {
        int i = lengthClass.ordinal();
        tokens[i] = Math.max(0, tokens[i] - removed);
    }

    void clear() {
        Arrays.fill(tokens, 0);
    }

    /** Returns the tokens that are done before new work of the class. */
    double ahead(LengthClass lengthClass) {
        double sum = 0;
        for (int i = 0; i <= lengthClass.ordinal(); i++) {
            sum += tokens[i];
        }
        return sum;
    }

    /** Returns whether a prompt is being read that delays shorter ones by its sheer length. */
    boolean hasLong() {
        return tokens[LengthClass.LONG.ordinal()] + tokens[LengthClass.HUGE.ordinal()] > 0;
    }

    /** Returns all unfinished tokens. */
    double total() {
        return ahead(LengthClass.HUGE);
    }
}
