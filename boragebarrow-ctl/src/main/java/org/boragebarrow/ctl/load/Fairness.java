package org.boragebarrow.ctl.load;

import java.util.Arrays;
import java.util.List;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions that measure how fairly work was shared. */
final class Fairness {
    private Fairness() {}

    /** Returns Jain's fairness index: 1 if all values are equal, 1/n if all but one of the n values are 0. */
    static double jainIndex(List<Double> values) {
        double sum = values.stream().mapToDouble(Double::doubleValue).sum();
        double squares = values.stream().mapToDouble(x -> x * x).sum();
        return squares == 0 ? 1 : sum * sum / (values.size() * squares);
    }

    /** Returns the weighted max-min fair shares of a total; no share exceeds its demand. */
    static double[] maxMinShares(double total, double[] demands, double[] weights) {
        checkArgument(demands.length == weights.length, "%s demands, %s weights", demands.length, weights.length);
        double[] shares = new double[demands.length];
        boolean[] satisfied = new boolean[demands.length];
        double remaining = Math.min(total, Arrays.stream(demands).sum());
        boolean changed = true;
        while (changed) {
            changed = false;
            double level = sharePerWeight(remaining, weights, satisfied);
            for (int i = 0; i < demands.length; i++) {
                if (!satisfied[i] && demands[i] <= level * weights[i]) {
                    shares[i] = demands[i];
                    remaining -= demands[i];
                    satisfied[i] = true;
                    changed = true;
                }
            }
        }
        double level = sharePerWeight(remaining, weights, satisfied);
        for (int i = 0; i < demands.length; i++) {
            shares[i] = satisfied[i] ? shares[i] : level * weights[i];
        }
        return shares;
    }

    /** Returns the share per unit of weight among the demands that are not satisfied yet. */
    private static double sharePerWeight(double remaining, double[] weights, boolean[] satisfied) {
        double unsatisfiedWeight = 0;
        for (int i = 0; i < weights.length; i++) {
            unsatisfiedWeight += satisfied[i] ? 0 : weights[i];
        }
        return unsatisfiedWeight == 0 ? 0 : remaining / unsatisfiedWeight;
    }
}
