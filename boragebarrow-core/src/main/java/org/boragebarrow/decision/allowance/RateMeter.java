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

    private final double memoryNanos;
    private double perSecond;
    private long measuredAtNanos;

    /** Creates a meter with rate zero. */
    public RateMeter(Duration timeConstant) {
        checkArgument(timeConstant.toNanos() > 0, "time constant must be positive: %s", timeConstant);
        memoryNanos = timeConstant.toNanos();
    }

    /** Adds an amount. */
    public void add(double amount, long nowNanos) {
        decay(nowNanos);
        perSecond += amount * NANOS_PER_SECOND / memoryNanos;
    }

    /** Returns the rate in amounts per second. */
    public double perSecond(long nowNanos) {
        decay(nowNanos);
        return perSecond;
    }

    private void decay(long nowNanos) {
        if (nowNanos == measuredAtNanos) {
            return;
        }
        perSecond *= Math.exp((measuredAtNanos - nowNanos) / memoryNanos);
        measuredAtNanos = nowNanos;
    }
}
