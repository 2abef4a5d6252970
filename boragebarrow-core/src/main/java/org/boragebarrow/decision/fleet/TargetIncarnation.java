package org.boragebarrow.decision.fleet;

import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Identifies one incarnation of a target, which may start again under the id that it had.
 *
 * @param startedMillis the start of the incarnation, in Unix milliseconds; 0 if its entry does not state it
 */
public record TargetIncarnation(TargetId id, long startedMillis) {
    public TargetIncarnation {
        checkNotNull(id);
    }

    @Override
    public String toString() {
        return id + "@" + startedMillis;
    }
}
