package org.boragebarrow.decision.allowance;

import java.time.Duration;

/** Measures tokens a minute as an average that forgets exponentially. */
final class DemandMeter {
    private static final Duration MEMORY = Duration.ofSeconds(5);
    private static final double MINUTE_SECONDS = 60;
    private static final double NANOS_PER_SECOND = 1e9;

    private double perSecond;
    private long measuredAtNanos;

    DemandMeter(long nowNanos) {
        measuredAtNanos = nowNanos;
    }

    void add(double tokens, long nowNanos) {
        decay(nowNanos);
        perSecond += tokens * NANOS_PER_SECOND / MEMORY.toNanos();
    }

    double perMinute(long nowNanos) {
        decay(nowNanos);
        return perSecond * MINUTE_SECONDS;
    }

    private void decay(long nowNanos) {
        double elapsed = nowNanos - measuredAtNanos;
        perSecond *= Math.exp(-elapsed / MEMORY.toNanos());
        measuredAtNanos = nowNanos;
    }
}
