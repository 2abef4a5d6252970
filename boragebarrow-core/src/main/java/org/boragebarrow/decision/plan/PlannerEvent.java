package org.boragebarrow.decision.plan;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;

/** What happens to a planner. */
public sealed interface PlannerEvent {
    /** The host holds the planner's lease until the given time on its monotonic clock. */
    record LeaseHeld(long epoch, long untilNanos) implements PlannerEvent {}

    /** The host no longer holds the planner's lease. */
    record LeaseLost() implements PlannerEvent {}

    /** The zone's engines, replacing the earlier list. */
    record EnginesListed(ImmutableList<Engine> engines) implements PlannerEvent {}

    /**
     * An engine reported what it holds.
     *
     * @param age how old the report is
     */
    record Reported(TargetId engine, ImmutableSet<ModelId> models, String role, long usedTokens, Duration age)
            implements PlannerEvent {}

    /** How many tokens a second the zone's requests for each model need at present. */
    record DemandReported(ImmutableMap<ModelId, Double> tokensPerSecond) implements PlannerEvent {}

    /** The weight store told how many loads it still allows. */
    record LoadsAllowed(int loads) implements PlannerEvent {}

    /** The call that sent an order ended. */
    record OrderEnded(TargetId engine, Result result) implements PlannerEvent {}

    /** Time passed. */
    record Ticked() implements PlannerEvent {}

    /**
     * An engine.
     *
     * @param checksFencing whether it refuses orders with an old fencing number
     * @param usable whether it takes new work
     */
    record Engine(TargetId id, boolean checksFencing, boolean usable) {}

    /** How a call that sent an order ended. */
    enum Result {
        /** The engine took the order. */
        ACCEPTED,
        /** The engine has seen a higher fencing number. */
        REFUSED,
        /** Nothing is known. */
        FAILED
    }
}
