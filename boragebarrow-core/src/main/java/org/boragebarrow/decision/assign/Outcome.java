package org.boragebarrow.decision.assign;

/** How an attempt at a target ended, as evidence of the target's health. */
public enum Outcome {
    /** The target answered completely. */
    SUCCEEDED,
    /** The target refused the work. */
    REFUSED,
    /** No connection to the target could be opened. */
    UNREACHABLE,
    /** Another target, or another incarnation of the target, responded at its address. */
    REPLACED,
    /** The target returned an error or an invalid answer. */
    FAILED,
    /** The connection ended before the answer was complete, as it does for all work of a target that crashes. */
    ABORTED,
    /** The target sent nothing for far longer than predicted. */
    SILENT,
    /** The caller disconnected or the request's limit passed; no evidence about the target. */
    WITHDRAWN
}
