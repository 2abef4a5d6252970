package org.boragebarrow.model;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies one attempt of one request. Unique over all hosts and all their incarnations.
 *
 * @param owner the host incarnation that created the attempt
 * @param counter the attempt's number within that incarnation
 */
public record AttemptId(HostIncarnation owner, long counter) implements Comparable<AttemptId> {
    public AttemptId {
        checkNotNull(owner);
        checkArgument(counter >= 0, "counter must not be negative: %s", counter);
    }

    /** Returns the id with the given owner and counter. */
    public static AttemptId of(HostIncarnation owner, long counter) {
        return new AttemptId(owner, counter);
    }

    /**
     * Parses the format that {@link #toString} returns, {@code HOST#INCARNATION/COUNTER}.
     *
     * @throws IllegalArgumentException if the text has another format
     */
    public static AttemptId parse(String text) {
        checkNotNull(text);
        int slash = text.lastIndexOf('/');
        int hash = text.lastIndexOf('#', Math.max(slash, 0));
        checkArgument(hash > 0 && slash > hash, "not an attempt id: \"%s\"", text);
        HostId host = HostId.of(text.substring(0, hash));
        IncarnationNumber number = IncarnationNumber.of(Long.parseLong(text.substring(hash + 1, slash)));
        return of(HostIncarnation.of(host, number), Long.parseLong(text.substring(slash + 1)));
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
