package org.boragebarrow.decision.claim;

import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;

/** The effects of a {@link ClaimManager}. */
public sealed interface ClaimManagerEffect {
    /** Reads a table row. */
    record Read(long callId, String key) implements ClaimManagerEffect {}

    /** Applies a swap, through the zone's claim writer or directly. */
    record Swap(long callId, ClaimSwap swap) implements ClaimManagerEffect {}

    /**
     * Allows the attempt to dispatch its call once, as it has been verified that the attempt holds the claim.
     *
     * <p>It also implies that no attempt with the key was dispatched within the retention window, so a refusal before
     * the dispatch may state that the call did not run. The attempt must later be finished, interrupted or
     * abandoned.
     */
    record Granted(AttemptId attempt) implements ClaimManagerEffect {}

    /** Refuses the attempt, which was not dispatched; another attempt with the key may have been dispatched. */
    record Refused(AttemptId attempt, ErrorKind kind, String message) implements ClaimManagerEffect {}

    /** Completes the attempt with the stored answer of an earlier attempt. */
    record Replayed(AttemptId attempt, ClaimAnswer answer) implements ClaimManagerEffect {}
}
