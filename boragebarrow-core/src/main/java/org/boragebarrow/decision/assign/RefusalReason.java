package org.boragebarrow.decision.assign;

/** Why work gets no target. */
public enum RefusalReason {
    /** No target of the service takes new work. */
    NO_TARGET,
    /** More work waits than targets become free in time. */
    OVERLOADED,
    /** No target could send the first event before the caller gives up. */
    TOO_LATE,
    /** The prompt is larger than the memory of any target. */
    TOO_LARGE
}
