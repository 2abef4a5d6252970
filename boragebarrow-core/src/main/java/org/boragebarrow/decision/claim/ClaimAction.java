package org.boragebarrow.decision.claim;

import org.boragebarrow.model.ErrorKind;

/** The next step of an attempt. */
sealed interface ClaimAction {
    /** Reads the row of the key. */
    record Read() implements ClaimAction {}

    /** Reads the row of the key after a delay. */
    record ReadLater() implements ClaimAction {}

    /** Replaces the row if it is at the expected version; 0 means absent. */
    record Swap(long expectedVersion, Claim claim) implements ClaimAction {}

    /** Allows the attempt to dispatch its call. */
    record Grant() implements ClaimAction {}

    /** Refuses the attempt, which has not dispatched its call. */
    record Refuse(ErrorKind kind, String message) implements ClaimAction {}

    /** Completes the attempt with the stored answer of an earlier attempt. */
    record Replay(ClaimAnswer answer) implements ClaimAction {}

    /** Stops tracking the attempt, as it requires no further change of the row. */
    record Complete() implements ClaimAction {}
}
