package org.boragebarrow.decision.dispatch;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.TargetId;

/** What a dispatcher wants done. */
public sealed interface DispatchEffect {
    /**
     * Lets an attempt run.
     *
     * @param targets the target, or the engines of a gang with its head first
     * @param priority the priority to give to the engine; lower numbers run first
     * @param lease how long the grant lasts unless the front renews it
     */
    record Granted(AttemptId attempt, ImmutableList<TargetId> targets, int priority, Duration lease)
            implements DispatchEffect {}

    /** Refuses an attempt that never ran here. */
    record Refused(AttemptId attempt, ErrorKind kind, String message, Duration retryAfter) implements DispatchEffect {}

    /** Passes an attempt on to another availability zone. */
    record Spilled(AttemptId attempt, AvailabilityZoneId zone) implements DispatchEffect {}
}
