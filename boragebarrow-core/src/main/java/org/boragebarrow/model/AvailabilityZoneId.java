package org.boragebarrow.model;

/**
 * Identifies an availability zone.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record AvailabilityZoneId(String value) implements Comparable<AvailabilityZoneId> {
    public AvailabilityZoneId {
        Ids.checkId("AvailabilityZoneId", value);
    }

    /** Returns the id with the given text. */
    public static AvailabilityZoneId of(String value) {
        return new AvailabilityZoneId(value);
    }

    @Override
    public int compareTo(AvailabilityZoneId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
