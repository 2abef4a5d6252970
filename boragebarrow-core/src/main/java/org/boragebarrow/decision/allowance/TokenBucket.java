package org.boragebarrow.decision.allowance;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A token bucket that a single request may overdraw; it then admits no request until its balance is positive again.
 *
 * <p>In any interval it admits at most its rate times the interval, its burst, and the one request that overdrew it.
 */
final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private double ratePerSecond;
    private double burst;
    private double balance;
    private long filledAtNanos;

    TokenBucket(double ratePerSecond, double burst, long nowNanos) {
        checkArgument(ratePerSecond > 0, "rate must be positive: %s", ratePerSecond);
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.balance = burst;
        this.filledAtNanos = nowNanos;
    }

    void setRate(double newRatePerSecond, double newBurst, long nowNanos) {
        fill(nowNanos);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        balance = Math.min(balance, burst);
    }

    boolean isPositive(long nowNanos) {
        fill(nowNanos);
        return balance > 0;
    }

    void take(double tokens) {
        balance -= tokens;
    }

    void giveBack(double tokens) {
        balance = Math.min(burst, balance + tokens);
    }

    Duration untilPositive(long nowNanos) {
        fill(nowNanos);
        if (balance > 0) {
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) ((1 - balance) / ratePerSecond * NANOS_PER_SECOND));
    }

    private void fill(long nowNanos) {
        double seconds = (nowNanos - filledAtNanos) / NANOS_PER_SECOND;
        balance = Math.min(burst, balance + seconds * ratePerSecond);
        filledAtNanos = nowNanos;
    }
}
