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
    private long lastRefillNanos;

    TokenBucket(double ratePerSecond, double burst, long nowNanos) {
        checkArgument(ratePerSecond > 0, "rate must be positive: %s", ratePerSecond);
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.balance = burst;
        this.lastRefillNanos = nowNanos;
    }

    void setRate(double newRatePerSecond, double newBurst, long nowNanos) {
        refill(nowNanos);
        ratePerSecond = newRatePerSecond;
        burst = newBurst;
        balance = Math.min(balance, burst);
    }

    boolean isPositive(long nowNanos) {
        refill(nowNanos);
        return balance > 0;
    }

    void consume(double tokens) {
        balance -= tokens;
    }

    void refund(double tokens) {
        balance = Math.min(burst, balance + tokens);
    }

    Duration timeUntilPositive(long nowNanos) {
        refill(nowNanos);
        if (balance > 0) {
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) ((1 - balance) / ratePerSecond * NANOS_PER_SECOND));
    }

    private void refill(long nowNanos) {
        double seconds = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND;
        balance = Math.min(burst, balance + seconds * ratePerSecond);
        lastRefillNanos = nowNanos;
    }
}
