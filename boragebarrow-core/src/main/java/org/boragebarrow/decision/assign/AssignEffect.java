package org.boragebarrow.decision.assign;

import java.time.Duration;

import org.boragebarrow.model.AttemptId;

/** What the assigner decides. */
public sealed interface AssignEffect {
    /** Returns the attempt that is decided on. */
    AttemptId id();

    /** The attempt waits; its decision follows. */
    record Queued(AttemptId id) implements AssignEffect {}

    /** The end of an attempt's question. */
    sealed interface Decided extends AssignEffect {}

    /** The attempt may be sent to its target. */
    record Assigned(AttemptId id, Assignment assignment) implements Decided {}

    /**
     * The attempt is not sent to any target.
     *
     * @param retryAfter when a target is expected to be free
     */
    record Refused(AttemptId id, RefusalReason reason, Duration retryAfter) implements Decided {}
}
