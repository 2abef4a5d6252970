package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of a host's incarnation. A host increases it when it restarts, and when it receives the information that
 * its current incarnation was ended.
 *
 * <p>Only numbers of the same host can be meaningfully compared.
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    public Incarnation {
        checkArgument(value >= 0, "incarnation number must not be negative: %s", value);
    }

    /** Returns the incarnation number with the given value. */
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    /** Returns the next higher number. */
    public Incarnation next() {
        return new Incarnation(value + 1);
    }

    @Override
    public int compareTo(Incarnation other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
