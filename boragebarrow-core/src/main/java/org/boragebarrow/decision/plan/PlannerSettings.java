package org.boragebarrow.decision.plan;

import java.time.Duration;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The settings of a planner.
 *
 * @param models the models that the zone serves; empty leaves all engines unchanged
 * @param modelsPerEngine the most models that an engine has loaded at once
 * @param role the role of every engine
 * @param callTimeout the timeout of the call that sends an order
 * @param orderTimeout how long an engine may take to execute an order; after this it is sent again
 * @param dwell how long an imbalance must last before an engine is moved, and the least time between two moves
 */
public record PlannerSettings(
        ImmutableSet<ModelId> models,
        int modelsPerEngine,
        String role,
        Duration callTimeout,
        Duration orderTimeout,
        Duration dwell) {
    public PlannerSettings {
        checkNotNull(models);
        checkArgument(modelsPerEngine > 0, "models per engine must be positive: %s", modelsPerEngine);
        checkArgument(!role.isEmpty(), "empty role");
        checkArgument(callTimeout.toNanos() > 0, "call timeout must be positive: %s", callTimeout);
        checkArgument(orderTimeout.toNanos() > 0, "order timeout must be positive: %s", orderTimeout);
        checkArgument(!dwell.isNegative(), "negative dwell: %s", dwell);
    }

    /** Returns settings with default times and one model per engine. */
    public static PlannerSettings of(ImmutableSet<ModelId> models) {
        return new PlannerSettings(
                models, 1, "both", Duration.ofSeconds(2), Duration.ofMinutes(5), Duration.ofMinutes(1));
    }
}
