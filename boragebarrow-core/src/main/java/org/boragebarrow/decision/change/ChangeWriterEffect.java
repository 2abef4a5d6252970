package org.boragebarrow.decision.change;

import java.util.Optional;

import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.Ran;

/** What a change writer wants done. */
public sealed interface ChangeWriterEffect {
    /** Makes a table call. */
    record Call(long call, TableCall table) implements ChangeWriterEffect {}

    /** Tells an operator that the change is committed, by this request or an earlier one with the same change id. */
    record Accepted(long request, Change change) implements ChangeWriterEffect {}

    /**
     * Tells an operator that this request did not commit the change, or with {@link Ran#UNKNOWN} that it may have done
     * so and should be sent again with the same change id.
     *
     * @param present the entry's last change, if the kind is {@link ErrorKind#VERSION_CONFLICT} and the entry exists
     */
    record Rejected(long request, ErrorKind kind, Ran ran, String message, Optional<Change> present)
            implements ChangeWriterEffect {}
}
