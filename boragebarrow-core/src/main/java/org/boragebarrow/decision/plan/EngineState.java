package org.boragebarrow.decision.plan;

import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.port.EngineControl.ChangeRole;
import org.boragebarrow.port.EngineControl.LoadModel;
import org.boragebarrow.port.EngineControl.Order;
import org.boragebarrow.port.EngineControl.UnloadModel;

/** The last reported state of one engine, and the order that a {@link Planner} is sending it. */
final class EngineState {
    PlannerEvent.Engine engine;
    ImmutableSet<ModelId> models = ImmutableSet.of();
    String role = "";
    long usedTokens;
    boolean loadReserved;
    private Optional<Long> reportNanos = Optional.empty();
    private Optional<PendingOrder> pendingOrder = Optional.empty();

    EngineState(PlannerEvent.Engine engine) {
        this.engine = engine;
    }

    void applyReport(PlannerEvent.Reported reported, long nowNanos) {
        long measuredNanos = nowNanos - reported.age().toNanos();
        if (reportNanos.isPresent() && measuredNanos - reportNanos.get() < 0) {
            return;
        }
        reportNanos = Optional.of(measuredNanos);
        models = reported.models();
        role = reported.role();
        usedTokens = reported.usedTokens();
        if (pendingOrder.isPresent() && pendingOrder.get().callEnded && hasTakenEffect(pendingOrder.get().order)) {
            pendingOrder = Optional.empty();
        }
    }

    boolean hasReportSince(long nanos) {
        return reportNanos.isPresent() && reportNanos.get() - nanos >= 0;
    }

    boolean hasPendingOrder() {
        return pendingOrder.isPresent();
    }

    void recordSent(Order order, long nowNanos) {
        pendingOrder = Optional.of(new PendingOrder(order, nowNanos));
    }

    void onCallEnded(PlannerEvent.Result result) {
        if (pendingOrder.isEmpty()) {
            return;
        }
        pendingOrder.get().callEnded = true;
        if (result == PlannerEvent.Result.REFUSED) {
            pendingOrder = Optional.empty();
        }
    }

    /** Drops a pending order that has not taken effect within the limit, so that it is sent again. */
    void expireOrder(long nowNanos, long orderTimeoutNanos) {
        if (pendingOrder.isPresent()
                && pendingOrder.get().callEnded
                && nowNanos - pendingOrder.get().sentNanos >= orderTimeoutNanos) {
            pendingOrder = Optional.empty();
        }
    }

    private boolean hasTakenEffect(Order order) {
        return switch (order) {
            case LoadModel load -> models.contains(load.model());
            case UnloadModel unload -> !models.contains(unload.model());
            case ChangeRole change -> role.equals(change.role());
        };
    }

    /** An order that is being sent or executed. */
    private static final class PendingOrder {
        private final Order order;
        private final long sentNanos;
        private boolean callEnded;

        PendingOrder(Order order, long sentNanos) {
            this.order = order;
            this.sentNanos = sentNanos;
        }
    }
}
