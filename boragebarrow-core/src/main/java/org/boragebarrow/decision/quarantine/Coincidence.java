package org.boragebarrow.decision.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/** Estimates how likely crashes that have another cause hit attempts with one part by chance. */
final class Coincidence {
    private Coincidence() {}

    /**
     * Returns an upper bound of the probability of at least the given number of crashes, if crashes are independent
     * events at a constant rate.
     *
     * @param expected the number of crashes that is to be expected
     */
    static double probability(int crashes, double expected) {
        checkArgument(crashes >= 0, "negative number of crashes: %s", crashes);
        checkArgument(expected >= 0, "negative expectation: %s", expected);
        // The terms of a Poisson distribution from the given number on sum up to at most this.
        double bound = 1;
        for (int i = 1; i <= crashes; i++) {
            bound *= expected / i;
        }
        return Math.min(1, bound);
    }
}
