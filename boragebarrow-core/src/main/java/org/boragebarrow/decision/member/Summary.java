package org.boragebarrow.decision.member;

import org.boragebarrow.model.HostLife;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A zone's summary of itself.
 *
 * @param origin the host that made it
 * @param sequence grows with each summary of the same origin
 */
public record Summary(HostLife origin, long sequence, Payload payload) {
    public Summary {
        checkNotNull(origin);
        checkNotNull(payload);
    }

    boolean replaces(Summary other) {
        return !origin.equals(other.origin) || sequence > other.sequence;
    }
}
