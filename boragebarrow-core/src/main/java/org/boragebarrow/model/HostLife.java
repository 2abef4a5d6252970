package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkNotNull;

/** Identifies one life of one host, so that a restarted process is never mistaken for its predecessor. */
public record HostLife(HostId host, Incarnation incarnation) implements Comparable<HostLife> {
    public HostLife {
        checkNotNull(host);
        checkNotNull(incarnation);
    }

    /** Returns the given life of the given host. */
    public static HostLife of(HostId host, Incarnation incarnation) {
        return new HostLife(host, incarnation);
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
