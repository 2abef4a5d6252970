package org.boragebarrow.decision.allowance;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Measures a rate as an exponentially decaying average.
 *
 * <p>Not thread-safe.
 */
public final class RateMeter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double timeConstantNanos;
    private double ratePerSecond;
    private long lastUpdateNanos;

    /** Creates a meter with rate zero. */
    public RateMeter(Duration timeConstant) {
        checkArgument(timeConstant.toNanos() > 0, "time constant must be positive: %s", timeConstant);
        timeConstantNanos = timeConstant.toNanos();
    }

    /** Adds an amount. */
    public void add(double amount, long nowNanos) {
        decay(nowNanos);
        ratePerSecond += amount * NANOS_PER_SECOND / timeConstantNanos;
    }

    /** Returns the rate in amounts per second. */
    public double ratePerSecond(long nowNanos) {
        decay(nowNanos);
        return ratePerSecond;
    }

    private void decay(long nowNanos) {
        if (nowNanos == lastUpdateNanos) {
            return;
        }
        ratePerSecond *= Math.exp((lastUpdateNanos - nowNanos) / timeConstantNanos);
        lastUpdateNanos = nowNanos;
    }
}
