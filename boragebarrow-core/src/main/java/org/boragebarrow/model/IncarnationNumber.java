package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of a host's incarnation. A host increases it when it restarts, and when another host reports that its
 * current incarnation has ended.
 *
 * <p>Only numbers of the same host can be meaningfully compared.
 */
public record IncarnationNumber(long value) implements Comparable<IncarnationNumber> {
    public IncarnationNumber {
        checkArgument(value >= 0, "incarnation number must not be negative: %s", value);
    }

    /** Returns the incarnation number with the given value. */
    public static IncarnationNumber of(long value) {
        return new IncarnationNumber(value);
    }

    /** Returns the next higher number. */
    public IncarnationNumber next() {
        return new IncarnationNumber(value + 1);
    }

    @Override
    public int compareTo(IncarnationNumber other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
