package org.boragebarrow.decision.change;

import java.util.OptionalLong;

import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.Ids;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** What happens to a change writer. */
public sealed interface ChangeWriterEvent {
    /**
     * An operator asks for a change.
     *
     * @param request the caller's number for the request; the outcome carries it
     * @param expectedVersion the entry's version that the operator saw, 0 if the entry did not exist; empty accepts any
     */
    record Submitted(long request, String changeId, ChangeEntry entry, OptionalLong expectedVersion)
            implements ChangeWriterEvent {
        public Submitted {
            checkArgument(Ids.isValid(changeId), "not an id: \"%s\"", changeId);
            checkNotNull(entry);
            checkNotNull(expectedVersion);
        }
    }

    /** A table call ended; each call must end once. */
    record Answered(long call, TableAnswer answer) implements ChangeWriterEvent {}

    /** Time passed. */
    record Ticked() implements ChangeWriterEvent {}
}
