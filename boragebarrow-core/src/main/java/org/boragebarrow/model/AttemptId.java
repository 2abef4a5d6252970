package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** Identifies one attempt at one request; unique over all hosts and all their lives. */
public record AttemptId(HostLife owner, long counter) implements Comparable<AttemptId> {
    public AttemptId {
        checkNotNull(owner);
        checkArgument(counter >= 0, "counter must not be negative: %s", counter);
    }

    /** Returns the attempt with the given owner and number. */
    public static AttemptId of(HostLife owner, long counter) {
        return new AttemptId(owner, counter);
    }

    /**
     * Parses the form that {@link #toString} writes.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static AttemptId parse(String text) {
        checkNotNull(text);
        int slash = text.lastIndexOf('/');
        int hash = text.lastIndexOf('#', Math.max(slash, 0));
        checkArgument(hash > 0 && slash > hash, "not an attempt id: \"%s\"", text);
        HostId host = HostId.of(text.substring(0, hash));
        Incarnation incarnation = Incarnation.of(Long.parseLong(text.substring(hash + 1, slash)));
        return of(HostLife.of(host, incarnation), Long.parseLong(text.substring(slash + 1)));
    }

    @Override
    public int compareTo(AttemptId other) {
        int order = owner.compareTo(other.owner);
        return order != 0 ? order : Long.compare(counter, other.counter);
    }

    @Override
    public String toString() {
        return owner + "/" + counter;
    }
}
