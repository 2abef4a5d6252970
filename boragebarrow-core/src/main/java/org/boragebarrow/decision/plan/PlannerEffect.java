package org.boragebarrow.decision.plan;

import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl.Order;

/** The effects of a planner. */
public sealed interface PlannerEffect {
    /**
     * Sends an order once; the call must end within {@link PlannerSettings#callTimeout}, if necessary as failed.
     *
     * @param notAfterNanos the time from which the order must not be sent, on the host's monotonic clock
     */
    record Send(TargetId engine, Order order, long fencingNumber, long notAfterNanos) implements PlannerEffect {}

    /** Requests the number of loads that the weight store still allows. */
    record QueryWeightStore() implements PlannerEffect {}
}
