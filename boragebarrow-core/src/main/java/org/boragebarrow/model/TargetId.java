package org.boragebarrow.model;

/**
 * Identifies a target: a model engine or a plain service instance.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record TargetId(String value) implements Comparable<TargetId> {
    public TargetId {
        Ids.checkId("TargetId", value);
    }

    /** Returns the id with the given text. */
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
