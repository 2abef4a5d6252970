package org.boragebarrow.decision.claim;

import org.boragebarrow.port.TableService.CommitResult;

import static com.google.common.base.Preconditions.checkNotNull;

/** The events of a {@link ClaimWriter}. */
public sealed interface ClaimWriterEvent {
    /**
     * A host requests a swap.
     *
     * @param request the requester's number for the swap, which the {@link ClaimWriterEffect.Finished} effect repeats
     */
    record Requested(long request, ClaimSwap swap) implements ClaimWriterEvent {
        public Requested {
            checkNotNull(swap);
        }
    }

    /** A commit completed; each must complete exactly once. */
    record Answered(long callId, CommitResult result) implements ClaimWriterEvent {}
}
