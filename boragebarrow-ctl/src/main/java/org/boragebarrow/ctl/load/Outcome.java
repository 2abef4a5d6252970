package org.boragebarrow.ctl.load;

/** How a request ended, as its caller sees it. */
public enum Outcome {
    /** The whole and right answer came in time. */
    OK,
    /** The request was refused or failed before its answer began. */
    REFUSED,
    /** An error event ended the answer after it had begun. */
    FAILED,
    /** The answer broke off without an end. */
    CUT,
    /** The answer ended as complete but is not the right one. */
    WRONG,
    /** The end came after the time limit, or never. */
    LATE
}
