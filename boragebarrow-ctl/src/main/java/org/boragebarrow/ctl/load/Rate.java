package org.boragebarrow.ctl.load;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The arrival rate of prompts: constant at the base, then a linear ramp to the peak, then constant at the peak.
 *
 * @param base the rate before the ramp, in prompts per second
 * @param crest the rate after the ramp, in prompts per second; may be below the base
 * @param swingStart the start of the ramp, since the start of the run
 */
public record Rate(double base, double crest, Duration swingStart, Duration swingLength) {
    private static final double NANOS_PER_SECOND = 1e9;

    public Rate {
        checkArgument(base > 0 && crest > 0, "rates must be positive: %s, %s", base, crest);
        checkArgument(
                !swingStart.isNegative() && !swingLength.isNegative(),
                "ramp start and duration must not be negative");
    }

    double highest() {
        return Math.max(base, crest);
    }

    double at(long nanos) {
        long elapsed = nanos - swingStart.toNanos();
        if (elapsed <= 0) {
            return base;
        }
        if (elapsed >= swingLength.toNanos()) {
            return crest;
        }
        return base + (crest - base) * elapsed / swingLength.toNanos();
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
