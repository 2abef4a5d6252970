package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkNotNull;

/** Identifies one incarnation of a host, which distinguishes a restarted process from its predecessor. */
public record HostIncarnation(HostId host, IncarnationNumber number) implements Comparable<HostIncarnation> {
    public HostIncarnation {
        checkNotNull(host);
        checkNotNull(number);
    }

    /** Returns the incarnation of the host with the given number. */
    public static HostIncarnation of(HostId host, IncarnationNumber number) {
        return new HostIncarnation(host, number);
    }

    @Override
    public int compareTo(HostIncarnation other) {
        int order = host.compareTo(other.host);
        return order != 0 ? order : number.compareTo(other.number);
    }

    @Override
    public String toString() {
        return host + "#" + number;
    }
}
