package org.boragebarrow.standins.platform;

import org.boragebarrow.testing.FaultRates;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The injected faults of one platform component; there are none if all are zero and false.
 *
 * @param down whether every call is rejected with status 503
 * @param refused the fraction of writes that are rejected with status 503
 * @param lostBeforeEffect the fraction of writes whose connection is reset before they take effect
 * @param lostAfterEffect the fraction of writes whose connection is reset after they have taken effect
 * @param delayed the fraction of writes that take effect only after {@code delayMillis}
 * @param delayMillis the delay of delayed writes; should exceed the clients' timeout
 * @param slowMillis the delay before every call takes effect
 * @param staleCommits the maximum number of commits by which a read of the table lags
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
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, 0, 0, 0, 0, 0, 0, 0);

    public PlatformFaults {
        checkArgument(delayMillis >= 0, "delayMillis must not be negative: %s", delayMillis);
        checkArgument(slowMillis >= 0, "slowMillis must not be negative: %s", slowMillis);
        checkArgument(staleCommits >= 0, "staleCommits must not be negative: %s", staleCommits);
        rates(refused, lostBeforeEffect, lostAfterEffect, delayed);
    }

    FaultRates rates() {
        return rates(refused, lostBeforeEffect, lostAfterEffect, delayed);
    }

    private static FaultRates rates(double refused, double lostBefore, double lostAfter, double delayed) {
        return new FaultRates(refused, lostBefore, lostAfter, delayed);
    }
}
