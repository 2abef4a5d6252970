package org.boragebarrow.decision.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Computes exponential delays with full jitter. */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final Duration initialBound;
    private final Duration maxBound;
    private final RandomGenerator random;

    /**
     * Creates a backoff.
     *
     * @param initialBound the upper bound of the first delay; the bound doubles with each retry
     * @param maxBound the upper bound of all delays
     */
    public Backoff(Duration initialBound, Duration maxBound, RandomGenerator random) {
        checkArgument(!initialBound.isNegative() && !initialBound.isZero(), "bound must be positive: %s", initialBound);
        checkArgument(maxBound.compareTo(initialBound) >= 0, "max bound %s is below %s", maxBound, initialBound);
        this.initialBound = initialBound;
        this.maxBound = maxBound;
        this.random = checkNotNull(random);
    }

    /** Returns a random delay before the given retry; retries are numbered from 1. */
    public Duration delay(int retry) {
        checkArgument(retry > 0, "retries are numbered from 1: %s", retry);
        long bound = initialBound.toNanos() << Math.min(retry - 1, MAX_DOUBLINGS);
        long capped = bound <= 0 ? maxBound.toNanos() : Math.min(bound, maxBound.toNanos());
        return Duration.ofNanos(random.nextLong(capped + 1));
    }
}
