package org.boragebarrow.decision.urgency;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The room of a service that is kept for work which is more urgent than some other work, and arrives now.
 *
 * <p>A place is room for one piece of the more urgent work. What is kept follows the demand of the last second in both
 * directions, so that room is kept only for work that is about to arrive.
 */
public final class UrgentReserve {
    /** Maximum fraction of a service's places that is kept free. */
    private static final double MAX_FRACTION = 0.5;

    private UrgentReserve() {}

    /**
     * Returns the number of free places to keep.
     *
     * @param expected the number of places that the more urgent work needs at its present demand
     * @param inUse the number of places that it has
     * @param total the number of places of the service
     */
    public static int places(double expected, int inUse, int total) {
        checkArgument(expected >= 0 && inUse >= 0 && total >= 0, "negative number: %s, %s, %s", expected, inUse, total);
        long missing = Math.round(expected) - inUse;
        return (int) Math.max(0, Math.min(missing, Math.floor(total * MAX_FRACTION)));
    }
}
