package org.boragebarrow.ctl.load;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How many prompts come a second: the base rate, which climbs evenly to the crest and stays there.
 *
 * @param base the rate before the swing, per second
 * @param crest the rate after the swing, per second
 */
public record Rate(double base, double crest, Duration swingStart, Duration swingLength) {
    private static final double NANOS_PER_SECOND = 1e9;

    public Rate {
        checkArgument(base > 0 && crest > 0, "rates must be positive: %s, %s", base, crest);
        checkArgument(!swingStart.isNegative() && !swingLength.isNegative(), "negative swing");
    }

    double highest() {
        return Math.max(base, crest);
    }

    double at(long nanos) {
        long climbed = nanos - swingStart.toNanos();
        if (climbed <= 0) {
            return base;
        }
        if (climbed >= swingLength.toNanos()) {
            return crest;
        }
        return base + (crest - base) * climbed / swingLength.toNanos();
    }

    /** Returns the time as seconds. */
    static double seconds(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }

    /** Returns the seconds as nanoseconds. */
    static long nanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }
}
