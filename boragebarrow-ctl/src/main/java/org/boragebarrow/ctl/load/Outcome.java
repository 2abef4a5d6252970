package org.boragebarrow.ctl.load;

/** How a request ended, as its caller sees it; the order of the constants is that of the columns in summary.csv. */
public enum Outcome {
    /** A complete and correct response was received in time. */
    OK,
    /** The request was refused or failed before its response began. */
    REFUSED,
    /** An error event ended the response after it had begun. */
    FAILED,
    /** The response was truncated or malformed. */
    CUT,
    /** The response ended as complete but its content is not the expected one. */
    WRONG,
    /** The response ended after the time limit and the grace, or never. */
    LATE
}
