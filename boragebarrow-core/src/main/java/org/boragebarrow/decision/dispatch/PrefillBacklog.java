package org.boragebarrow.decision.dispatch;

import java.util.Arrays;

import org.boragebarrow.model.LengthClass;

/** Models an engine's unfinished prefill, which drains at the engine's prefill rate, shorter classes first. */
final class PrefillBacklog {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int CLASS_COUNT = LengthClass.values().length;

    private final double[] tokens = new double[CLASS_COUNT];
    private long advancedAtNanos;

    /** Drains the backlog by the work that the engine has done since the last call. */
    void advance(double tokensPerSecond, long nowNanos) {
        if (nowNanos == advancedAtNanos) {
            return;
        }
        double capacity = (nowNanos - advancedAtNanos) / NANOS_PER_SECOND * tokensPerSecond;
        advancedAtNanos = nowNanos;
        for (int i = 0; i < CLASS_COUNT; i++) {
            double drained = Math.min(tokens[i], capacity);
            tokens[i] -= drained;
            capacity -= drained;
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

    /** Returns the number of tokens that are prefilled before new work of the class. */
    double tokensAhead(LengthClass lengthClass) {
        double sum = 0;
        for (int i = 0; i <= lengthClass.ordinal(); i++) {
            sum += tokens[i];
        }
        return sum;
    }

    /** Returns the number of longer classes with unfinished prefill, which new work of the class delays. */
    int longerClassCount(LengthClass lengthClass) {
        int classes = 0;
        for (int i = lengthClass.ordinal() + 1; i < CLASS_COUNT; i++) {
            classes += tokens[i] > 0 ? 1 : 0;
        }
        return classes;
    }

    /** Returns the total number of unfinished tokens. */
    double total() {
        return tokensAhead(LengthClass.HUGE);
    }
}
