package org.boragebarrow.decision.claim;

import org.boragebarrow.port.TableService.CommitResult;

import static com.google.common.base.Preconditions.checkNotNull;

/** What happens to a claim writer. */
public sealed interface ClaimWriterEvent {
    /**
     * A host asks for a swap.
     *
     * @param request the asking side's number; the outcome carries it
     */
    record Requested(long request, ClaimSwap swap) implements ClaimWriterEvent {
        public Requested {
            checkNotNull(swap);
        }
    }

    /** A commit ended; each must end once. */
    record Answered(long call, CommitResult result) implements ClaimWriterEvent {}
}
