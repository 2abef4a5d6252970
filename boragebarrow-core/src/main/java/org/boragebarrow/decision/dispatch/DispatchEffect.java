package org.boragebarrow.decision.dispatch;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.TargetId;

/** The effects of a dispatcher, which its host carries out. */
public sealed interface DispatchEffect {
    /**
     * Grants an attempt, which then runs on the given targets.
     *
     * @param targets the target, or the engines of a gang with the head engine first
     * @param priority the priority to send to the engine; lower numbers run first
     * @param lease how long the grant is valid unless the front renews it
     */
    record Granted(AttemptId attempt, ImmutableList<TargetId> targets, int priority, Duration lease)
            implements DispatchEffect {}

    /** Refuses an attempt that has not run in this zone. */
    record Refused(AttemptId attempt, ErrorKind kind, String message, Duration retryAfter) implements DispatchEffect {}

    /** Spills an attempt: the front submits it to another availability zone instead. */
    record Spilled(AttemptId attempt, AvailabilityZoneId zone) implements DispatchEffect {}
}
