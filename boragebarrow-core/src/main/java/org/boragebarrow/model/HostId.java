package org.boragebarrow.model;

/**
 * Identifies an entry host, a process of the system that accepts requests from callers.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record HostId(String value) implements Comparable<HostId> {
    public HostId {
        Ids.checkId("HostId", value);
    }

    /** Returns the id with the given text. */
    public static HostId of(String value) {
        return new HostId(value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
