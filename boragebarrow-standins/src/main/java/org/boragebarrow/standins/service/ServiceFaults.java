package org.boragebarrow.standins.service;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The injected faults of a plain service; there are none if all are zero.
 *
 * @param slowMillis the delay before each call runs
 * @param refused the fraction of calls that are rejected with status 503 and do not run
 * @param diedAfterRun the fraction of calls that run but whose connection is reset before any response
 * @param halfAnswers the fraction of calls that run but whose response is cut off after half of its body
 */
public record ServiceFaults(long slowMillis, double refused, double diedAfterRun, double halfAnswers) {
    /** No faults. */
    public static final ServiceFaults NONE = new ServiceFaults(0, 0, 0, 0);

    public ServiceFaults {
        checkArgument(slowMillis >= 0, "slowMillis must not be negative: %s", slowMillis);
        checkArgument(refused >= 0, "refused must not be negative: %s", refused);
        checkArgument(diedAfterRun >= 0, "diedAfterRun must not be negative: %s", diedAfterRun);
        checkArgument(halfAnswers >= 0, "halfAnswers must not be negative: %s", halfAnswers);
        double sum = refused + diedAfterRun + halfAnswers;
        checkArgument(sum <= 1, "sum of the fault fractions must not exceed 1: %s", sum);
    }

    /** The fault of one call. */
    enum Fault {
        NONE(""),
        REFUSED("refused"),
        RESET_AFTER_RUN("died_after_run"),
        TRUNCATED_RESPONSE("half_answers");

        private final String switchName;

        Fault(String switchName) {
            this.switchName = switchName;
        }

        /** Returns the name of the switch that injects the fault. */
        String switchName() {
            return switchName;
        }
    }

    /** Returns the fault that a uniform draw from 0 (inclusive) to 1 (exclusive) selects. */
    Fault selectFault(double draw) {
        double bound = refused;
        if (draw < bound) {
            return Fault.REFUSED;
        }
        bound += diedAfterRun;
        if (draw < bound) {
            return Fault.RESET_AFTER_RUN;
        }
        return draw < bound + halfAnswers ? Fault.TRUNCATED_RESPONSE : Fault.NONE;
    }
}
