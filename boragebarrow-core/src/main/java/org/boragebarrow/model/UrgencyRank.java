package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The rank of a request among those that compete for the same targets; {@link #MOST_URGENT} goes first.
 *
 * <p>Immutable. Ordered from the most urgent to the least urgent.
 */
public record UrgencyRank(int value) implements Comparable<UrgencyRank> {
    private static final int MOST_URGENT_VALUE = 0;
    private static final int DEFAULT_VALUE = 5;
    private static final int LEAST_URGENT_VALUE = 9;

    /** The number of ranks. */
    public static final int COUNT = LEAST_URGENT_VALUE + 1;

    public static final UrgencyRank MOST_URGENT = new UrgencyRank(MOST_URGENT_VALUE);
    public static final UrgencyRank LEAST_URGENT = new UrgencyRank(LEAST_URGENT_VALUE);

    /** The rank of requests for which none is configured. */
    public static final UrgencyRank DEFAULT = new UrgencyRank(DEFAULT_VALUE);

    public UrgencyRank {
        checkArgument(
                value >= MOST_URGENT_VALUE && value <= LEAST_URGENT_VALUE,
                "rank must be from %s to %s: %s",
                MOST_URGENT_VALUE,
                LEAST_URGENT_VALUE,
                value);
    }

    /** Returns the rank with the given number. */
    public static UrgencyRank of(int value) {
        return new UrgencyRank(value);
    }

    /** Returns the rank with the number, or the nearest one if the number is out of range. */
    public static UrgencyRank ofNearest(long value) {
        return new UrgencyRank((int) Math.max(MOST_URGENT_VALUE, Math.min(LEAST_URGENT_VALUE, value)));
    }

    /** Returns whether requests of this rank go before those of the other one. */
    public boolean isMoreUrgentThan(UrgencyRank other) {
        return value < other.value;
    }

    @Override
    public int compareTo(UrgencyRank other) {
        return Integer.compare(value, other.value);
    }
}
