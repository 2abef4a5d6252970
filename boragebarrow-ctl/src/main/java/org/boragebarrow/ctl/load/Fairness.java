package org.boragebarrow.ctl.load;

import java.util.Arrays;
import java.util.List;

import static com.google.common.base.Preconditions.checkArgument;

/** Static functions that measure how evenly work was shared. */
final class Fairness {
    private Fairness() {}

    /** Returns Jain's index: 1 when all values are equal, 1/n when one has everything. */
    static double jainIndex(List<Double> values) {
        double sum = values.stream().mapToDouble(Double::doubleValue).sum();
        double squares = values.stream().mapToDouble(x -> x * x).sum();
        return squares == 0 ? 1 : sum * sum / (values.size() * squares);
    }

    /** Returns the weighted max-min fair shares of a total: nobody gets more than its demand. */
    static double[] maxMinShares(double total, double[] demands, double[] weights) {
        checkArgument(demands.length == weights.length, "%s demands, %s weights", demands.length, weights.length);
        double[] shares = new double[demands.length];
        boolean[] settled = new boolean[demands.length];
        double left = Math.min(total, Arrays.stream(demands).sum());
        boolean again = true;
        while (again) {
            again = false;
            double level = level(left, weights, settled);
            for (int i = 0; i < demands.length; i++) {
                if (!settled[i] && demands[i] <= level * weights[i]) {
                    shares[i] = demands[i];
                    left -= demands[i];
                    settled[i] = true;
                    again = true;
                }
            }
        }
        double level = level(left, weights, settled);
        for (int i = 0; i < demands.length; i++) {
            shares[i] = settled[i] ? shares[i] : level * weights[i];
        }
        return shares;
    }

    /** Returns what each unit of unsettled weight gets. */
    private static double level(double left, double[] weights, boolean[] settled) {
        double open = 0;
        for (int i = 0; i < weights.length; i++) {
            open += settled[i] ? 0 : weights[i];
        }
        return open == 0 ? 0 : left / open;
    }
}
