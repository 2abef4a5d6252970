package org.boragebarrow.decision.claim;

import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService.CommitResult;

/** The effects of a {@link ClaimWriter}. */
public sealed interface ClaimWriterEffect {
    /** Commits a transaction. */
    record Commit(long callId, TableCall.Commit transaction) implements ClaimWriterEffect {}

    /** Reports the result of a swap to the requester. */
    record Finished(long request, CommitResult result) implements ClaimWriterEffect {}
}
