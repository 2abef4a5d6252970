package org.boragebarrow.decision.pace;

import java.time.Duration;
import java.util.OptionalDouble;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Estimates quantiles of recent values in constant memory: a histogram with logarithmic buckets whose weights decay.
 *
 * <p>Values from 0.01 to about 100,000 are told apart within 5 %; others count as the nearest of these.
 * Not thread-safe. Times are monotonic nanoseconds.
 */
public final class DecayedQuantiles {
    private static final double MIN_VALUE = 0.01;
    private static final double BUCKET_RATIO = 1.1;
    private static final int BUCKETS = 170;

    /** Half-lives after which weights are scaled down, so that they stay within the range of doubles. */
    private static final double MAX_HALF_LIVES = 64;

    private final double halfLifeNanos;
    private final double[] weights = new double[BUCKETS];
    private double total;
    private long origin;

    /** Creates an estimator without values. */
    public DecayedQuantiles(Duration halfLife) {
        checkArgument(!halfLife.isNegative() && !halfLife.isZero(), "half-life must be positive: %s", halfLife);
        this.halfLifeNanos = halfLife.toNanos();
    }

    /** Adds a value, which must not be negative. */
    public void add(double value, long now) {
        checkArgument(value >= 0, "negative value: %s", value);
        double weight = growth(now);
        weights[bucket(value)] += weight;
        total += weight;
    }

    /** Returns the decayed number of values. */
    public double count(long now) {
        return total == 0 ? 0 : total / growth(now);
    }

    /** Returns the least value that is not below the given fraction of the values; empty if there are none. */
    public OptionalDouble quantile(double fraction) {
        checkArgument(fraction > 0 && fraction <= 1, "fraction must be above 0 and at most 1: %s", fraction);
        if (total == 0) {
            return OptionalDouble.empty();
        }
        double below = 0;
        int last = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (weights[i] == 0) {
                continue;
            }
            last = i;
            below += weights[i];
            if (below >= fraction * total) {
                break;
            }
        }
        return OptionalDouble.of(MIN_VALUE * Math.pow(BUCKET_RATIO, last + 0.5));
    }

    private static int bucket(double value) {
        if (value <= MIN_VALUE) {
            return 0;
        }
        return Math.min(BUCKETS - 1, (int) (Math.log(value / MIN_VALUE) / Math.log(BUCKET_RATIO)));
    }

    /** Returns the weight of a value that is added now; older values weigh less as new ones weigh more. */
    private double growth(long now) {
        if (total == 0) {
            origin = now;
            return 1;
        }
        double halfLives = (now - origin) / halfLifeNanos;
        if (halfLives > MAX_HALF_LIVES) {
            double scale = Math.pow(2, -halfLives);
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                weights[i] *= scale;
                total += weights[i];
            }
            origin = now;
            return 1;
        }
        return Math.pow(2, halfLives);
    }
}
