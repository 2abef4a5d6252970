package org.boragebarrow.model;

/**
 * Identifies a region: availability zones that are close to one another.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record RegionId(String value) implements Comparable<RegionId> {
    public RegionId {
        Ids.checkId("RegionId", value);
    }

    /** Returns the id with the given text. */
    public static RegionId of(String value) {
        return new RegionId(value);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
