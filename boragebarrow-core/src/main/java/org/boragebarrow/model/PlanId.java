package org.boragebarrow.model;

/**
 * Identifies a plan, a named {@link Allowance}.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record PlanId(String value) implements Comparable<PlanId> {
    public PlanId {
        Ids.checkId("PlanId", value);
    }

    /** Returns the id with the given text. */
    public static PlanId of(String value) {
        return new PlanId(value);
    }

    @Override
    public int compareTo(PlanId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
