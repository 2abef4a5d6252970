package org.boragebarrow.decision.allowance;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Measures a rate as an average that forgets exponentially.
 *
 * <p>Not thread-safe.
 */
public final class RateMeter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double memoryNanos;
    private double perSecond;
    private long measuredAtNanos;

    /** Creates a meter that has measured nothing. */
    public RateMeter(Duration memory) {
        checkArgument(memory.toNanos() > 0, "memory must be positive: %s", memory);
        memoryNanos = memory.toNanos();
    }

    /** Adds an amount. */
    public void add(double amount, long nowNanos) {
        decay(nowNanos);
        perSecond += amount * NANOS_PER_SECOND / memoryNanos;
    }

    /** Returns the amount a second. */
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
