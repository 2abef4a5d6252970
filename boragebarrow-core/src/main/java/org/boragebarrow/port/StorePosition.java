package org.boragebarrow.port;

import java.util.Comparator;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A point in the history of the platform's store.
 *
 * <p>Versions increase within an era. A new era begins when the store comes back from an older copy: its versions go back, and are
 * given out again for other changes, so that two versions can be compared within one era only. Positions are ordered by era and
 * then by version.
 *
 * @param era the number of the era; 0 if the store does not tell
 * @param version the version within the era; 0 is before the first change, and as that of a row, it means that there is none
 */
public record StorePosition(long era, long version) implements Comparable<StorePosition> {
    /** The position before anything was read. */
    public static final StorePosition START = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::version);

    public StorePosition {
        checkArgument(era >= 0, "negative era: %s", era);
        checkArgument(version >= 0, "negative version: %s", version);
    }

    /** Returns the position of a row that does not exist in the era of this position. */
    public StorePosition withoutRow() {
        return new StorePosition(era, 0);
    }

    /** Returns whether the other position is in the same era. */
    public boolean isSameEra(StorePosition other) {
        return era == other.era;
    }

    /** Returns whether this position is behind the other. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns the later one of two positions. */
    public static StorePosition max(StorePosition a, StorePosition b) {
        return a.isBefore(b) ? b : a;
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + version;
    }
}
