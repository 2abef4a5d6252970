package org.boragebarrow.decision.retry;

import java.time.Duration;
import java.util.random.RandomGenerator;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Computes exponential delays with full jitter. */
public final class Backoff {
    private static final int MAX_DOUBLINGS = 20;

    private final Duration first;
    private final Duration longest;
    private final RandomGenerator random;

    /**
     * Creates a backoff.
     *
     * @param first the upper bound of the first delay; each later bound is twice the one before
     * @param longest the upper bound of all delays
     */
    public Backoff(Duration first, Duration longest, RandomGenerator random) {
        checkArgument(!first.isNegative() && !first.isZero(), "first delay must be positive: %s", first);
        checkArgument(longest.compareTo(first) >= 0, "longest delay %s is below the first %s", longest, first);
        this.first = first;
        this.longest = longest;
        this.random = checkNotNull(random);
    }

    /** Returns a delay before the given retry, the first of which is number 1. */
    public Duration delay(int retry) {
        checkArgument(retry > 0, "retries are numbered from 1: %s", retry);
        long bound = first.toNanos() << Math.min(retry - 1, MAX_DOUBLINGS);
        long capped = bound <= 0 ? longest.toNanos() : Math.min(bound, longest.toNanos());
        return Duration.ofNanos(random.nextLong(capped + 1));
    }
}
