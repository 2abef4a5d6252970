package org.boragebarrow.decision.dispatch;

/** A policy for ordering prompts and choosing engines; the baselines serve for comparison in measurements. */
public sealed interface PlacementPolicy {
    /** The policy for production. */
    PlacementPolicy PREDICTED_COST = new PredictedCost();

    /** A baseline: arrival order and round robin. */
    PlacementPolicy ROUND_ROBIN = new RoundRobin();

    /** A baseline: arrival order and fewest requests. */
    PlacementPolicy LEAST_LOAD = new LeastLoad();

    /** Returns whether length classes, fair queueing and reserved fractions apply; if not, the order is by arrival. */
    default boolean isClassAware() {
        return this instanceof PredictedCost;
    }

    /** Orders by class and fairness, and chooses the engine with the lowest predicted wait and uncached prefill. */
    record PredictedCost() implements PlacementPolicy {}

    /** Orders by arrival and chooses the engines by round robin. */
    record RoundRobin() implements PlacementPolicy {}

    /** Orders by arrival and chooses the engine with the fewest requests. */
    record LeastLoad() implements PlacementPolicy {}
}
