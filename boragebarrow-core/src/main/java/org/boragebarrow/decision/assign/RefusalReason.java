package org.boragebarrow.decision.assign;

/** Why work is not assigned to a target. */
public enum RefusalReason {
    /** No target of the service accepts new work. */
    NO_TARGET,
    /** All targets of the service are in zones that operators have emptied. */
    ZONES_EMPTIED,
    /** No target of the service is in a region that the work may reach. */
    OUTSIDE_HOMES,
    /** More work is queued than targets become free in time. */
    OVERLOADED,
    /** As {@link #OVERLOADED}, and the organisation has used more than its share of the service. */
    OVER_SHARE,
    /** Work with more right to the room arrived, behind which the queued work would wait for too long. */
    DISPLACED,
    /** All targets want no requests of the host until after the request's limit. */
    QUIET,
    /** No target could send the first event before the caller disconnects or the request's limit passes. */
    TOO_LATE,
    /** The prompt is larger than the memory of all targets together. */
    TOO_LARGE,
    /** The prompt has a part that crashes targets. */
    QUARANTINED,
    /** The work has crashed a target, and its prompt has a part that is in other crashes too. */
    SUSPECTED,
    /** The work is a second copy, and the limit of these is used up. */
    COPIES_SPENT,
    /** The work is a second copy, and none are sent while the service's targets are busy, late or crashing. */
    COPIES_PAUSED
}
