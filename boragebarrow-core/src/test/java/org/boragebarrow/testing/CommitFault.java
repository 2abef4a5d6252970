package org.boragebarrow.testing;

/** The faults that a commit can be given. */
public enum CommitFault {
    /** No fault. */
    NONE,
    /** The service refuses the commit; no write is applied. */
    REFUSED,
    /** The request is lost before the commit is applied; its result is unknown to the caller. */
    LOST_BEFORE_EFFECT,
    /** The response is lost after the commit was applied; its result is unknown to the caller. */
    LOST_AFTER_EFFECT,
    /** The call times out, and the commit is attempted later; its result is unknown to the caller. */
    DELAYED
}
