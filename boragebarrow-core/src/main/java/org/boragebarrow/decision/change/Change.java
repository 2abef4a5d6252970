package org.boragebarrow.decision.change;

import org.boragebarrow.model.Ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One accepted change.
 *
 * @param number its place in the log, from 1 without gaps
 * @param changeId the operator's own id, which makes a repeat idempotent
 */
public record Change(long number, String changeId, ChangeEntry entry) {
    public Change {
        checkArgument(number > 0, "change number must be positive: %s", number);
        checkArgument(Ids.isValid(changeId), "not an id: \"%s\"", changeId);
        checkNotNull(entry);
    }
}
