package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One attempt that requests a target.
 *
 * @param zone the zone of the host that holds the request
 * @param size the size of a prompt; empty if the service's targets are not model engines
 * @param objective the latency objective: time from the request's arrival to its first event
 * @param pauseObjective the objective for the longest pause between events
 * @param age time that the caller has waited: since the request's arrival, or since the last event that it received
 * @param remaining time until the request's limit
 * @param excluded targets that failed an earlier attempt
 * @param parts the parts of the prompt
 * @param crashes the earlier attempts whose connections ended before their first events
 * @param terms whose work it is, and what it is entitled to
 */
public record Work(
        AttemptId id,
        ServiceName service,
        AvailabilityZoneId zone,
        Optional<PromptSize> size,
        Duration objective,
        Optional<Duration> pauseObjective,
        Duration age,
        Duration remaining,
        ImmutableSet<TargetId> excluded,
        PromptParts parts,
        int crashes,
        WorkTerms terms) {
    public Work {
        checkNotNull(id);
        checkNotNull(service);
        checkNotNull(zone);
        checkNotNull(size);
        checkNotNull(objective);
        checkNotNull(pauseObjective);
        checkNotNull(excluded);
        checkNotNull(parts);
        checkArgument(crashes >= 0, "negative number of crashes: %s", crashes);
        checkNotNull(terms);
    }

    /** Returns the work with other terms. */
    public Work withTerms(WorkTerms other) {
        return new Work(
                id, service, zone, size, objective, pauseObjective, age, remaining, excluded, parts, crashes, other);
    }

    /** Returns the work with one more excluded target. */
    public Work excluding(TargetId target) {
        return new Work(
                id,
                service,
                zone,
                size,
                objective,
                pauseObjective,
                age,
                remaining,
                ImmutableSet.<TargetId>builder().addAll(excluded).add(target).build(),
                parts,
                crashes,
                terms);
    }

    /** Returns the work with the given time added to its age and subtracted from its remaining time. */
    public Work withElapsed(Duration time) {
        return new Work(
                id,
                service,
                zone,
                size,
                objective,
                pauseObjective,
                age.plus(time),
                remaining.minus(time),
                excluded,
                parts,
                crashes,
                terms);
    }
}
