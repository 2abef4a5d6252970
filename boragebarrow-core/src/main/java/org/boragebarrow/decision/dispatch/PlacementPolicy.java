package org.boragebarrow.decision.dispatch;

/** How a dispatcher orders prompts and picks engines; the baselines exist to be measured against. */
public sealed interface PlacementPolicy {
    /** The policy for production. */
    PlacementPolicy PREDICTED_COST = new PredictedCost();

    /** The first baseline. */
    PlacementPolicy ROUND_ROBIN = new RoundRobin();

    /** The second baseline. */
    PlacementPolicy LEAST_LOAD = new LeastLoad();

    /** Returns whether length classes, fair queueing and reserved shares are in use; else the order is by arrival. */
    default boolean isClassAware() {
        return this instanceof PredictedCost;
    }

    /** Orders by class and fairness and picks the engine with the least predicted wait and uncached prefill. */
    record PredictedCost() implements PlacementPolicy {}

    /** Orders by arrival and picks the engines in turn. */
    record RoundRobin() implements PlacementPolicy {}

    /** Orders by arrival and picks the engine with the fewest requests. */
    record LeastLoad() implements PlacementPolicy {}
}
