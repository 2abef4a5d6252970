package org.boragebarrow.decision.claim;

import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService.CommitResult;

/** What a claim writer wants done. */
public sealed interface ClaimWriterEffect {
    /** Commits a transaction. */
    record Commit(long call, TableCall.Commit commit) implements ClaimWriterEffect {}

    /** Tells the asking side what became of its swap. */
    record Finished(long request, CommitResult result) implements ClaimWriterEffect {}
}
