package org.boragebarrow.decision.plan;

import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl.Order;

/** What a planner wants done. */
public sealed interface PlannerEffect {
    /**
     * Sends an order, once; the call must end by the settings' longest call, as failed if need be.
     *
     * @param notAfterNanos when the order must no longer be sent, on the host's monotonic clock
     */
    record Send(TargetId engine, Order order, long fencingNumber, long notAfterNanos) implements PlannerEffect {}

    /** Asks the weight store how many loads it still allows. */
    record AskWeightStore() implements PlannerEffect {}
}
