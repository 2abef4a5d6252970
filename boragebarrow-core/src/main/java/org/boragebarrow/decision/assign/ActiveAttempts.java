package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;

/**
 * The attempts that have targets, until their end events arrive or have been lost.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 */
final class ActiveAttempts {
    /** Time after its limit at which an attempt without an end event is treated as ended. */
    private static final Duration EXPIRY_GRACE = Duration.ofSeconds(1);

    private static final Duration EXPIRY_PERIOD = Duration.ofMillis(500);

    private final Map<AttemptId, ActiveAttempt> attempts = new LinkedHashMap<>();
    private long lastExpiryAt;

    /**
     * An attempt that has targets.
     *
     * @param targets the targets, the answering one first
     * @param assignedAt when this assigner assigned it; empty if another one did
     * @param expiresAt when it is treated as ended if no end event arrives
     */
    record ActiveAttempt(Work work, ImmutableList<TargetId> targets, Optional<Long> assignedAt, long expiresAt) {}

    void add(Work work, ImmutableList<TargetId> targets, Optional<Long> assignedAt, long now) {
        long expiresAt = now + work.remaining().plus(EXPIRY_GRACE).toNanos();
        attempts.put(work.id(), new ActiveAttempt(work, targets, assignedAt, expiresAt));
    }

    boolean contains(AttemptId id) {
        return attempts.containsKey(id);
    }

    /** Returns the targets of the attempt, the answering one first; empty if the attempt is unknown. */
    Optional<ImmutableList<TargetId>> targets(AttemptId id) {
        return Optional.ofNullable(attempts.get(id)).map(ActiveAttempt::targets);
    }

    /** Removes and returns the attempt. */
    Optional<ActiveAttempt> remove(AttemptId id) {
        return Optional.ofNullable(attempts.remove(id));
    }

    /** Returns the attempts of a host. */
    ImmutableSet<AttemptId> of(HostId host) {
        return attempts.keySet().stream()
                .filter(id -> id.owner().host().equals(host))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the attempts whose end events were lost; empty if they were looked for a moment ago. */
    ImmutableSet<AttemptId> expired(long now) {
        if (now - lastExpiryAt < EXPIRY_PERIOD.toNanos()) {
            return ImmutableSet.of();
        }
        lastExpiryAt = now;
        return attempts.entrySet().stream()
                .filter(entry -> now - entry.getValue().expiresAt() > 0)
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }

    int size() {
        return attempts.size();
    }
}
