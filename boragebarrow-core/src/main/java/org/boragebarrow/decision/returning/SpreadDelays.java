package org.boragebarrow.decision.returning;

import java.time.Duration;

/**
 * Retry delays for callers of whose targets nothing is known, spread so that callers refused in one moment return one
 * after the other.
 *
 * <p>Not thread-safe.
 */
public final class SpreadDelays {
    /** Callers wait for this fraction of their remaining time at most: one part in three. */
    private static final int LONGEST_DIVISOR = 3;

    /** Distances between the multiples of this number, modulo 1, are as even as possible. */
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private double fraction;

    /** Creates delays; different seeds give different sequences. */
    public SpreadDelays(long seed) {
        this.fraction = Math.floorMod(seed, 1_000L) / 1_000.0;
    }

    /** Returns the longest delay that a caller with the remaining time waits for. */
    public static Duration longest(Duration remaining) {
        return remaining.isNegative() ? Duration.ZERO : remaining.dividedBy(LONGEST_DIVISOR);
    }

    /** Returns the next delay: between half of the longest one and the longest one. */
    public Duration next(Duration remaining) {
        return Duration.ofMillis(Math.round(longest(remaining).toMillis() * (1 + nextFraction()) / 2));
    }

    /** Returns the next number of the sequence, from 0 to 1. */
    double nextFraction() {
        fraction = (fraction + GOLDEN_RATIO) % 1;
        return fraction;
    }
}
