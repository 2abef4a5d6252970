package org.boragebarrow.ctl.load;

/** Who chooses the engine of a prompt. */
public enum Policy {
    /** The system under test. */
    SYSTEM,
    /** The load tool, each engine in turn. */
    ROUND_ROBIN,
    /** The load tool, the engine with the fewest of its requests in progress. */
    LEAST_LOAD
}
