package org.boragebarrow.decision.change;

import org.boragebarrow.model.Ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One accepted change.
 *
 * @param number the position in the log; starts at 1 and has no gaps
 * @param changeId the id that the operator chose, which makes a retry idempotent
 */
public record Change(long number, String changeId, ChangeEntry entry) {
    public Change {
        checkArgument(number > 0, "change number must be positive: %s", number);
        checkArgument(Ids.isValid(changeId), "invalid change id: \"%s\"", changeId);
        checkNotNull(entry);
    }
}
