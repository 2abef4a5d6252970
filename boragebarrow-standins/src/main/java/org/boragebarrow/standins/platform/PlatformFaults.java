package org.boragebarrow.standins.platform;

import org.boragebarrow.testing.FaultRates;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The faults of one part of the platform; all zero and false means none.
 *
 * @param down whether each call is refused with status 503
 * @param refused the share of writes that are refused with status 503
 * @param lostBeforeEffect the share of writes whose connection is reset before they take effect
 * @param lostAfterEffect the share of writes whose connection is reset after they took effect
 * @param delayed the share of writes that take effect only after {@code delayMillis}
 * @param delayMillis how late delayed writes take effect; meant to be longer than the clients' timeout
 * @param slowMillis how long every call waits before it takes effect
 * @param staleCommits how many commits a read of the table may lag
 */
public record PlatformFaults(
        boolean down,
        double refused,
        double lostBeforeEffect,
        double lostAfterEffect,
        double delayed,
        long delayMillis,
        long slowMillis,
        int staleCommits) {
    /** No fault at all. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 0, 0, 0, 0);

    public PlatformFaults {
        checkArgument(delayMillis >= 0, "delay must not be negative: %s ms", delayMillis);
        checkArgument(slowMillis >= 0, "slowness must not be negative: %s ms", slowMillis);
        checkArgument(staleCommits >= 0, "stale commits must not be negative: %s", staleCommits);
        rates(refused, lostBeforeEffect, lostAfterEffect, delayed);
    }

    FaultRates rates() {
        return rates(refused, lostBeforeEffect, lostAfterEffect, delayed);
    }

    private static FaultRates rates(double refused, double lostBefore, double lostAfter, double delayed) {
        return new FaultRates(refused, lostBefore, lostAfter, delayed);
    }
}
