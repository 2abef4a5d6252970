package org.boragebarrow.decision.change;

import java.util.Optional;

import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;

/** The effects of a {@link ChangeWriter}. */
public sealed interface ChangeWriterEffect {
    /** Makes a table call. */
    record Call(long callId, TableCall table) implements ChangeWriterEffect {}

    /** Reports to the operator that this request, or an earlier one with the same change id, committed the change. */
    record Accepted(long request, Change change) implements ChangeWriterEffect {}

    /**
     * Reports to the operator that this request did not commit the change or, with {@link ExecutionStatus#UNKNOWN},
     * that it may have committed it and should be retried with the same change id.
     *
     * @param present the last change to the entry, if the kind is {@link ErrorKind#VERSION_CONFLICT} and the entry
     *     exists
     */
    record Rejected(
            long request, ErrorKind kind, ExecutionStatus executionStatus, String message, Optional<Change> present)
            implements ChangeWriterEffect {}
}
