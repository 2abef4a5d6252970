package org.boragebarrow.ctl.load;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The arrival rate of prompts: constant at the base, then a linear ramp to the peak, then constant at the peak.
 *
 * @param base the rate before the ramp, in prompts per second
 * @param peak the rate after the ramp, in prompts per second; may be below the base
 * @param rampStart the start of the ramp, since the start of the run
 */
public record Rate(double base, double peak, Duration rampStart, Duration rampDuration) {
    private static final double NANOS_PER_SECOND = 1e9;

    public Rate {
        checkArgument(base > 0 && peak > 0, "rates must be positive: %s, %s", base, peak);
        checkArgument(
                !rampStart.isNegative() && !rampDuration.isNegative(), "ramp start and duration must not be negative");
    }

    double maximum() {
        return Math.max(base, peak);
    }

    double at(long nanos) {
        long elapsed = nanos - rampStart.toNanos();
        if (elapsed <= 0) {
            return base;
        }
        if (elapsed >= rampDuration.toNanos()) {
            return peak;
        }
        return base + (peak - base) * elapsed / rampDuration.toNanos();
    }

    /** Converts nanoseconds to seconds. */
    static double seconds(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }

    /** Converts seconds to nanoseconds. */
    static long nanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }
}
