package org.boragebarrow.model;

/** Whether a refused or failed request was executed, as far as that is known. */
public enum ExecutionStatus {
    /** Certainly not executed: no byte of the request was written to a connection to a target. */
    NO,
    /** Executed. */
    YES,
    /** Possibly executed. */
    UNKNOWN
}
