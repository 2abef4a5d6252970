package org.boragebarrow.decision.plan;

import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.port.EngineControl.ChangeRole;
import org.boragebarrow.port.EngineControl.LoadModel;
import org.boragebarrow.port.EngineControl.Order;
import org.boragebarrow.port.EngineControl.UnloadModel;

/** The state of one engine as a {@link Planner} has last received it. */
final class EngineState {
    PlannerEvent.Engine engine;
    ImmutableSet<ModelId> models = ImmutableSet.of();
    String role = "";
    long usedTokens;
    boolean loadReserved;
    private Optional<Long> reportNanos = Optional.empty();
    private Optional<SentOrder> sent = Optional.empty();

    EngineState(PlannerEvent.Engine engine) {
        this.engine = engine;
    }

    void report(PlannerEvent.Reported reported, long nowNanos) {
        long measuredNanos = nowNanos - reported.age().toNanos();
        if (reportNanos.isPresent() && measuredNanos - reportNanos.get() < 0) {
            return;
        }
        reportNanos = Optional.of(measuredNanos);
        models = reported.models();
        role = reported.role();
        usedTokens = reported.usedTokens();
        if (sent.isPresent() && sent.get().ended && isDone(sent.get().order)) {
            sent = Optional.empty();
        }
    }

    boolean isReportedSince(long nanos) {
        return reportNanos.isPresent() && reportNanos.get() - nanos >= 0;
    }

    boolean hasOrder() {
        return sent.isPresent();
    }

    void send(Order order, long nowNanos) {
        sent = Optional.of(new SentOrder(order, nowNanos));
    }

    void orderEnded(PlannerEvent.Result result) {
        if (sent.isEmpty()) {
            return;
        }
        sent.get().ended = true;
        if (result == PlannerEvent.Result.REFUSED) {
            sent = Optional.empty();
        }
    }

    /** Drops a pending order that has not taken effect within the limit, so that it is sent again. */
    void expire(long nowNanos, long orderTimeoutNanos) {
        if (sent.isPresent() && sent.get().ended && nowNanos - sent.get().sentNanos >= orderTimeoutNanos) {
            sent = Optional.empty();
        }
    }

    private boolean isDone(Order order) {
        return switch (order) {
            case LoadModel load -> models.contains(load.model());
            case UnloadModel unload -> !models.contains(unload.model());
            case ChangeRole change -> role.equals(change.role());
        };
    }

    /** An order that is being sent or executed. */
    private static final class SentOrder {
        private final Order order;
        private final long sentNanos;
        private boolean ended;

        SentOrder(Order order, long sentNanos) {
            this.order = order;
            this.sentNanos = sentNanos;
        }
    }
}
