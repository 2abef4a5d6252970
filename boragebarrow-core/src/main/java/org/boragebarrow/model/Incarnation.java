package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Numbers one life of a host; a host that restarts, or learns that its life was ended, takes a higher one.
 *
 * <p>Comparable only between incarnations of the same host.
 */
public record Incarnation(long value) implements Comparable<Incarnation> {
    public Incarnation {
        checkArgument(value >= 0, "incarnation must not be negative: %s", value);
    }

    /** Returns the incarnation with the given number. */
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    /** Returns the incarnation that follows this one. */
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
