package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.fleet.FleetTarget;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The target of an attempt.
 *
 * @param helpers targets that each prefill a part of the prompt, in addition to the target itself
 * @param predictedTimeToFirstEvent predicted time from the assignment to the first event
 * @param lateAfter time from the assignment after which the first event, or a call's answer, is later than nearly all
 *     such answers lately; empty if that is unknown, or if no second copy may be sent
 */
public record Assignment(
        FleetTarget target,
        ImmutableList<HelperTarget> helpers,
        Duration predictedTimeToFirstEvent,
        Optional<Duration> lateAfter) {
    public Assignment {
        checkNotNull(target);
        checkNotNull(helpers);
        checkNotNull(predictedTimeToFirstEvent);
        checkNotNull(lateAfter);
    }

    /** Creates an assignment of which no second copy is sent. */
    public Assignment(FleetTarget target, ImmutableList<HelperTarget> helpers, Duration predictedTimeToFirstEvent) {
        this(target, helpers, predictedTimeToFirstEvent, Optional.empty());
    }

    /** Returns the assignment with the time after which its answer is late. */
    public Assignment withLateAfter(Optional<Duration> time) {
        return new Assignment(target, helpers, predictedTimeToFirstEvent, time);
    }

    /** Returns an assignment without helpers. */
    public static Assignment of(FleetTarget target, Duration predictedTimeToFirstEvent) {
        return new Assignment(target, ImmutableList.of(), predictedTimeToFirstEvent);
    }

    /** Returns the targets without which the attempt cannot succeed: the one that answers, and helpers that store tokens. */
    public ImmutableList<FleetTarget> needed() {
        ImmutableList.Builder<FleetTarget> needed = ImmutableList.builder();
        needed.add(target);
        helpers.stream()
                .filter(helper -> helper.storedTokens() > 0)
                .map(HelperTarget::target)
                .forEach(needed::add);
        return needed.build();
    }

    /** Returns the ids and stored tokens of the helpers, without their fleet entries. */
    public ImmutableList<HelperTarget.Ref> helperRefs() {
        return helpers.stream().map(HelperTarget::ref).collect(ImmutableList.toImmutableList());
    }
}
