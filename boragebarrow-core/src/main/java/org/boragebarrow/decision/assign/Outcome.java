package org.boragebarrow.decision.assign;

/** How an attempt at a target ended, as evidence about the target. */
public enum Outcome {
    /** The target answered whole. */
    SUCCEEDED,
    /** The target said that it did not take the work. */
    REFUSED,
    /** No connection to the target could be opened. */
    UNREACHABLE,
    /** The target broke off, answered with an error of its own or with bytes that are no answer. */
    FAILED,
    /** The target sent nothing for far longer than predicted. */
    SILENT,
    /** The caller left or the request's limit passed; says nothing about the target. */
    WITHDRAWN
}
