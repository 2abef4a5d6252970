package org.boragebarrow.decision.assign;

import java.time.Duration;

import org.boragebarrow.model.AttemptId;

/** An effect of the {@link Assigner}. */
public sealed interface AssignEffect {
    /** Returns the attempt that the effect applies to. */
    AttemptId id();

    /** The attempt is queued; a {@link Decided} effect follows. */
    record Queued(AttemptId id) implements AssignEffect {}

    /** The final decision on a request for an assignment. */
    sealed interface Decided extends AssignEffect {}

    /** The attempt may be sent to its target. */
    record Assigned(AttemptId id, Assignment assignment) implements Decided {}

    /**
     * The attempt is not sent to any target.
     *
     * @param retryAfter time from now after which a target is expected to be free
     */
    record Refused(AttemptId id, RefusalReason reason, Duration retryAfter) implements Decided {}
}
