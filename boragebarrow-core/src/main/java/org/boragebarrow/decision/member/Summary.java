package org.boragebarrow.decision.member;

import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A zone's summary of its state, for other zones.
 *
 * @param origin the host that made the summary
 * @param sequence a number that increases with each summary of the same origin
 */
public record Summary(HostIncarnation origin, long sequence, Payload payload) {
    public Summary {
        checkNotNull(origin);
        checkNotNull(payload);
    }

    boolean replaces(Summary other) {
        return !origin.equals(other.origin) || sequence > other.sequence;
    }
}
