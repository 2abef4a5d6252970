package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkNotNull;

/** Identifies one incarnation of a host, which distinguishes a restarted process from its predecessor. */
public record HostLife(HostId host, Incarnation incarnation) implements Comparable<HostLife> {
    public HostLife {
        checkNotNull(host);
        checkNotNull(incarnation);
    }

    /** Returns the incarnation of the host with the given number. */
    public static HostLife of(HostId host, Incarnation number) {
        return new HostLife(host, number);
    }

    @Override
    public int compareTo(HostLife other) {
        int order = host.compareTo(other.host);
        return order != 0 ? order : incarnation.compareTo(other.incarnation);
    }

    @Override
    public String toString() {
        return host + "#" + incarnation;
    }
}
