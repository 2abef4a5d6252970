package org.boragebarrow.decision.quarantine;

import java.util.OptionalLong;

import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;

/** An attempt in progress. Not thread-safe. Times are monotonic nanoseconds. */
final class AttemptRecord {
    private final AttemptId id;
    private final ServiceName service;
    private final PromptParts parts;
    private final TargetIncarnation target;
    private final long startedAt;
    private final long earliestAnswerAt;
    private OptionalLong firstEventAt = OptionalLong.empty();

    /**
     * Creates the record of an attempt that starts.
     *
     * @param earliestAnswerAt the earliest time at which the target can begin to write the answer
     */
    AttemptRecord(
            AttemptId id,
            ServiceName service,
            PromptParts parts,
            TargetIncarnation target,
            long startedAt,
            long earliestAnswerAt) {
        this.id = id;
        this.service = service;
        this.parts = parts;
        this.target = target;
        this.startedAt = startedAt;
        this.earliestAnswerAt = earliestAnswerAt;
    }

    AttemptId id() {
        return id;
    }

    ServiceName service() {
        return service;
    }

    PromptParts parts() {
        return parts;
    }

    TargetIncarnation target() {
        return target;
    }

    /** Returns when the attempt entered the phase. */
    long startOf(Phase phase) {
        return switch (phase) {
            case ANY -> startedAt;
            case ANSWERING -> earliestAnswerAt;
        };
    }

    /** Returns how long the attempt was in the phase between the two times. */
    long nanosIn(Phase phase, long from, long to) {
        long start = startOf(phase);
        return Math.max(0, to - (start - from > 0 ? start : from));
    }

    void recordFirstEvent(long now) {
        firstEventAt = OptionalLong.of(now);
    }

    /** Returns when the answer began, if it has gone on for the given time since. */
    OptionalLong soundSince(long now, long settleNanos) {
        return firstEventAt.isPresent() && now - firstEventAt.getAsLong() >= settleNanos
                ? firstEventAt
                : OptionalLong.empty();
    }

    boolean holds(PartKey key) {
        return service.equals(key.service()) && parts.shared().contains(key.part());
    }
}
