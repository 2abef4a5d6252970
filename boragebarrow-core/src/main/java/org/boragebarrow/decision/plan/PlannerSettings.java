package org.boragebarrow.decision.plan;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What a planner is told by its host's settings.
 *
 * @param models the models that the zone serves; empty leaves all engines as they are
 * @param modelsPerEngine how many models an engine may hold at once
 * @param role the role that every engine should have
 * @param longestCall the time limit of the call that sends an order
 * @param longestOrder how long an engine may take to carry an order out
 * @param dwell how long a lack must last, and how long planners wait between two moves of engines
 */
public record PlannerSettings(
        ImmutableSet<ModelId> models,
        int modelsPerEngine,
        String role,
        Duration longestCall,
        Duration longestOrder,
        Duration dwell) {
    public PlannerSettings {
        checkNotNull(models);
        checkArgument(modelsPerEngine > 0, "models per engine must be positive: %s", modelsPerEngine);
        checkArgument(!role.isEmpty(), "empty role");
        checkArgument(longestCall.toNanos() > 0, "longest call must be positive: %s", longestCall);
        checkArgument(longestOrder.toNanos() > 0, "longest order must be positive: %s", longestOrder);
        checkArgument(!dwell.isNegative(), "negative dwell: %s", dwell);
    }

    /** Returns settings with default times for engines that hold one model each. */
    public static PlannerSettings of(ImmutableSet<ModelId> models) {
        return new PlannerSettings(
                models, 1, "both", Duration.ofSeconds(2), Duration.ofMinutes(5), Duration.ofMinutes(1));
    }
}
