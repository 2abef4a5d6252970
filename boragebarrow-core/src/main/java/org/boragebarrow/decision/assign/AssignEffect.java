package org.boragebarrow.decision.assign;

import java.time.Duration;

import org.boragebarrow.decision.quarantine.CrashVerdict;
import org.boragebarrow.model.AttemptId;

/** An effect of the {@link Assigner}. */
public sealed interface AssignEffect {
    /** An effect on one attempt, for the host that holds its request. */
    sealed interface ForAttempt extends AssignEffect {
        /** Returns the attempt that the effect applies to. */
        AttemptId id();
    }

    /** The ends of attempts led to a conclusion about a target or a part of prompts. */
    record Concluded(CrashVerdict verdict) implements AssignEffect {}

    /** The attempt is queued; a {@link Decided} effect follows. */
    record Queued(AttemptId id) implements ForAttempt {}

    /**
     * The target of an assigned attempt was given prefill that takes long, and sends no events meanwhile.
     *
     * @param pause the predicted longest time between two events, or to the first one from now
     */
    record PauseExpected(AttemptId id, Duration pause) implements ForAttempt {}

    /** The final decision on a request for an assignment. */
    sealed interface Decided extends ForAttempt {}

    /** The attempt may be sent to its target. */
    record Assigned(AttemptId id, Assignment assignment) implements Decided {}

    /**
     * The attempt is not sent to any target.
     *
     * @param retryAfter time from now after which a target is expected to be free
     */
    record Refused(AttemptId id, RefusalReason reason, Duration retryAfter) implements Decided {}
}
