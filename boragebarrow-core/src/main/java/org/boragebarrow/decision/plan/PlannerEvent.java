package org.boragebarrow.decision.plan;

import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;

/** The events of a planner. */
public sealed interface PlannerEvent {
    /** The host holds the planner's lease until the given time on its monotonic clock. */
    record LeaseHeld(long epoch, long expiryNanos) implements PlannerEvent {}

    /** The host no longer holds the planner's lease. */
    record LeaseLost() implements PlannerEvent {}

    /** The list of the zone's engines; replaces the earlier list. */
    record EnginesListed(ImmutableList<Engine> engines) implements PlannerEvent {}

    /**
     * An engine reported its models, role and memory use.
     *
     * @param age the age of the report
     */
    record Reported(TargetId engine, ImmutableSet<ModelId> models, String role, long usedTokens, Duration age)
            implements PlannerEvent {}

    /**
     * The current demand for each model in the zone, as a number of running and queued sequences; an engine's sequences
     * are divided evenly among the models that it reports.
     */
    record DemandReported(ImmutableMap<ModelId, Double> sequencesByModel) implements PlannerEvent {}

    /** The weight store reported the number of loads that it still allows. */
    record LoadsAllowed(int loads) implements PlannerEvent {}

    /** The call that sent an order ended. */
    record OrderEnded(TargetId engine, Result result) implements PlannerEvent {}

    /** Time passed. */
    record Ticked() implements PlannerEvent {}

    /**
     * An engine.
     *
     * @param checksFencing whether the engine refuses orders with an old fencing number
     * @param usable whether the engine accepts new requests
     */
    record Engine(TargetId id, boolean checksFencing, boolean usable) {}

    /** The result of a call that sent an order. */
    enum Result {
        /** The engine accepted the order. */
        ACCEPTED,
        /** The engine has received a higher fencing number. */
        REFUSED,
        /** The outcome is unknown. */
        FAILED
    }
}
