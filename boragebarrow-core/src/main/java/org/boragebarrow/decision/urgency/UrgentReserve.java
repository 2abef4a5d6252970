package org.boragebarrow.decision.urgency;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The room of a service that is kept for work which is more urgent than some other work, and arrives now.
 *
 * <p>A place is room for one piece of the more urgent work. As that goes first, it needs a free place only until the next
 * one comes free by itself. What is kept therefore covers the arrivals of that time, and follows the demand of the last
 * second in both directions.
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
     * @param arrivals the number of its arrivals until the next place comes free, while all are in use
     * @param total the number of places of the service
     */
    public static int places(double expected, int inUse, double arrivals, int total) {
        checkArgument(
                expected >= 0 && inUse >= 0 && arrivals >= 0 && total >= 0,
                "negative number: %s, %s, %s, %s",
                expected,
                inUse,
                arrivals,
                total);
        double missing = Math.min(Math.round(expected) - inUse, Math.ceil(arrivals));
        return (int) Math.max(0, Math.min(missing, Math.floor(total * MAX_FRACTION)));
    }
}
