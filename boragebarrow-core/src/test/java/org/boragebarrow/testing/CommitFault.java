package org.boragebarrow.testing;

/** What can go wrong with a commit. */
public enum CommitFault {
    /** Nothing goes wrong. */
    NONE,
    /** The service refuses at once; nothing takes effect. */
    REFUSED,
    /** The request is lost before it takes effect; the caller learns nothing. */
    LOST_BEFORE_EFFECT,
    /** The answer is lost after the commit took effect; the caller learns nothing. */
    LOST_AFTER_EFFECT,
    /** The caller gives up, and the commit is tried only later. */
    DELAYED
}
