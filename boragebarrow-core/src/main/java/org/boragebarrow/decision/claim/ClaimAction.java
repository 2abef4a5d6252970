package org.boragebarrow.decision.claim;

import org.boragebarrow.model.ErrorKind;

/** What an attempt does next with its claim. */
sealed interface ClaimAction {
    /** Reads the row. */
    record Read() implements ClaimAction {}

    /** Reads the row after a delay. */
    record ReadLater() implements ClaimAction {}

    /** Replaces the row if it is at the version. */
    record Swap(long version, Claim claim) implements ClaimAction {}

    /** Lets the attempt dispatch its call. */
    record Grant() implements ClaimAction {}

    /** Refuses the attempt, which has not dispatched its call. */
    record Refuse(ErrorKind kind, String message) implements ClaimAction {}

    /** Answers the attempt with the answer of an earlier one. */
    record Replay(ClaimAnswer answer) implements ClaimAction {}

    /** Forgets the attempt: the row needs nothing more from it. */
    record Settle() implements ClaimAction {}
}
