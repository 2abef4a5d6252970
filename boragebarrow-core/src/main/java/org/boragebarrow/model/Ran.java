package org.boragebarrow.model;

/** What is known of whether a refused or failed request ran. */
public enum Ran {
    /** Proven not to have run: no byte of it was handed to a target's connection. */
    NO,
    /** It ran. */
    YES,
    /** It may have run. */
    UNKNOWN
}
