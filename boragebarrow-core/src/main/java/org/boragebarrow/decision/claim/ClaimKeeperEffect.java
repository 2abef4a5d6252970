package org.boragebarrow.decision.claim;

import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;

/** What a claim keeper wants done. */
public sealed interface ClaimKeeperEffect {
    /** Reads a row of the table. */
    record Read(long call, String key) implements ClaimKeeperEffect {}

    /** Applies a swap, through the zone's claim writer or directly. */
    record Swap(long call, ClaimSwap swap) implements ClaimKeeperEffect {}

    /**
     * Lets the attempt dispatch its call, once: the claim is proven to be its own.
     *
     * <p>It also proves that no attempt of the key has run within the retention window, so a refusal before the dispatch
     * may say that the call did not run. The attempt must later be finished, interrupted or abandoned.
     */
    record Granted(AttemptId attempt) implements ClaimKeeperEffect {}

    /** Refuses the attempt; it was not dispatched, but another attempt of the key may have been. */
    record Refused(AttemptId attempt, ErrorKind kind, String message) implements ClaimKeeperEffect {}

    /** Answers the attempt with the kept answer of an earlier one. */
    record Replayed(AttemptId attempt, ClaimAnswer answer) implements ClaimKeeperEffect {}
}
