package org.boragebarrow.model;

/**
 * Identifies a request. The id is chosen by the caller, or else by the host that accepted the request.
 *
 * <p>Immutable. Ordered lexicographically. At most {@value Ids#MAX_LENGTH} printable ASCII characters without spaces.
 */
public record RequestId(String value) implements Comparable<RequestId> {
    public RequestId {
        Ids.checkId("RequestId", value);
    }

    /** Returns the id with the given text. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
