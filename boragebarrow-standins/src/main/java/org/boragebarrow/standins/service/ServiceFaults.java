package org.boragebarrow.standins.service;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The faults of a plain service; all zero means none.
 *
 * @param slowMillis how long each call waits before it runs
 * @param refused the share of calls that are refused with status 503 and do not run
 * @param diedAfterRun the share of calls that run but whose connection is reset before any answer
 * @param halfAnswers the share of calls that run but whose answer ends half-way
 */
public record ServiceFaults(long slowMillis, double refused, double diedAfterRun, double halfAnswers) {
    /** No fault at all. */
    public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0);

    public ServiceFaults {
        checkArgument(slowMillis >= 0, "slowness must not be negative: %s ms", slowMillis);
        checkArgument(refused >= 0, "rate must not be negative: %s", refused);
        checkArgument(diedAfterRun >= 0, "rate must not be negative: %s", diedAfterRun);
        checkArgument(halfAnswers >= 0, "rate must not be negative: %s", halfAnswers);
        double sum = refused + diedAfterRun + halfAnswers;
        checkArgument(sum <= 1, "rates must not exceed 1 in sum: %s", sum);
    }

    /** What happens to one call. */
    enum Fault {
        NONE,
        REFUSED,
        DIED_AFTER_RUN,
        HALF_ANSWER
    }

    /** Returns the fault that belongs to a draw between 0 and 1. */
    Fault fault(double draw) {
        double bound = refused;
        if (draw < bound) {
            return Fault.REFUSED;
        }
        bound += diedAfterRun;
        if (draw < bound) {
            return Fault.DIED_AFTER_RUN;
        }
        return draw < bound + halfAnswers ? Fault.HALF_ANSWER : Fault.NONE;
    }
}
