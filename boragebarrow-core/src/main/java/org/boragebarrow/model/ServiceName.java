package org.boragebarrow.model;

/**
 * Identifies a plain service that callers call through the system.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record ServiceName(String value) implements Comparable<ServiceName> {
    public ServiceName {
        Ids.checkId("ServiceName", value);
    }

    /** Returns the id with the given text. */
    public static ServiceName of(String value) {
        return new ServiceName(value);
    }

    @Override
    public int compareTo(ServiceName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
