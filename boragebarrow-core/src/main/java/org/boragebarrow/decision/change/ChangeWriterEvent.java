package org.boragebarrow.decision.change;

import java.util.OptionalLong;

import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.Ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The events of a {@link ChangeWriter}. */
public sealed interface ChangeWriterEvent {
    /**
     * An operator requests a change.
     *
     * @param request the number that the caller assigned to the request, which the outcome repeats
     * @param expectedVersion the version of the entry that the operator read, or 0 if the entry did not exist; if
     *     empty, any version is accepted
     */
    record Submitted(long request, String changeId, ChangeEntry entry, OptionalLong expectedVersion)
            implements ChangeWriterEvent {
        public Submitted {
            checkArgument(Ids.isValid(changeId), "invalid change id: \"%s\"", changeId);
            checkNotNull(entry);
            checkNotNull(expectedVersion);
        }
    }

    /** A table call completed; each call must complete exactly once. */
    record Answered(long callId, TableAnswer answer) implements ChangeWriterEvent {}

    /** Time passed. */
    record Ticked() implements ChangeWriterEvent {}
}
