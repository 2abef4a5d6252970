package org.boragebarrow.ctl.load;

/** Which component selects the engine of a prompt, and how. */
public enum Policy {
    /** The hosts of the system under test select it. */
    SYSTEM,
    /** The load tool selects the engines in round-robin order. */
    ROUND_ROBIN,
    /** The load tool selects the engine with the fewest requests of this tool in progress. */
    LEAST_LOAD
}
