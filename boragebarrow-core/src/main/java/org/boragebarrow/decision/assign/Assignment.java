package org.boragebarrow.decision.assign;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.fleet.FleetTarget;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The target of an attempt.
 *
 * @param helpers targets that read a part of the prompt each, beside the target itself
 * @param predictedFirst the time from now to the first event
 */
public record Assignment(FleetTarget target, ImmutableList<Helper> helpers, Duration predictedFirst) {
    public Assignment {
        checkNotNull(target);
        checkNotNull(helpers);
        checkNotNull(predictedFirst);
    }

    /** Returns an assignment to a target that works alone. */
    public static Assignment of(FleetTarget target, Duration predictedFirst) {
        return new Assignment(target, ImmutableList.of(), predictedFirst);
    }

    /** Returns the helpers without what the fleet says of them. */
    public ImmutableList<Helper.Ref> helperRefs() {
        return helpers.stream().map(Helper::ref).collect(ImmutableList.toImmutableList());
    }
}
