package org.boragebarrow.decision.plan;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.plan.PlannerEffect.QueryWeightStore;
import org.boragebarrow.decision.plan.PlannerEffect.Send;
import org.boragebarrow.decision.plan.PlannerEvent.DemandReported;
import org.boragebarrow.decision.plan.PlannerEvent.Engine;
import org.boragebarrow.decision.plan.PlannerEvent.EnginesListed;
import org.boragebarrow.decision.plan.PlannerEvent.LeaseHeld;
import org.boragebarrow.decision.plan.PlannerEvent.LeaseLost;
import org.boragebarrow.decision.plan.PlannerEvent.LoadsAllowed;
import org.boragebarrow.decision.plan.PlannerEvent.OrderEnded;
import org.boragebarrow.decision.plan.PlannerEvent.Reported;
import org.boragebarrow.decision.plan.PlannerEvent.Ticked;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl.ChangeRole;
import org.boragebarrow.port.EngineControl.LoadModel;
import org.boragebarrow.port.EngineControl.Order;
import org.boragebarrow.port.EngineControl.UnloadModel;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Sends orders to a zone's engines while its host holds the planner's lease.
 *
 * <p>Two concurrent planners do no lasting harm. Each sends one order at a time to an engine. An engine that checks
 * fencing numbers refuses the orders of the planner with the lower epoch. At an engine that ignores them, the current
 * planner detects the effect of a late order in the next report and corrects it; an order is sent to such an engine
 * only if the lease outlasts the call.
 */
public final class Planner implements Machine<PlannerEvent, PlannerEffect> {
    private static final long LOADS_VALIDITY_NANOS = Duration.ofMinutes(1).toNanos();
    private static final long LOADS_QUERY_INTERVAL_NANOS =
            Duration.ofSeconds(10).toNanos();

    private final PlannerSettings settings;
    private final ModelPlacement placement;
    private final Map<TargetId, EngineState> engines = new TreeMap<>();
    private ImmutableMap<ModelId, Double> demand = ImmutableMap.of();
    private Optional<LeaseHeld> lease = Optional.empty();
    private long leaseSinceNanos;
    private Optional<Long> imbalanceSinceNanos = Optional.empty();
    private int remainingLoads;
    private long loadsReportedNanos;
    private boolean loadsQueried;
    private long loadsQueriedNanos;

    public Planner(PlannerSettings settings) {
        this.settings = checkNotNull(settings);
        this.placement = new ModelPlacement(settings.models());
    }

    @Override
    public ImmutableList<PlannerEffect> apply(PlannerEvent event, long nowNanos) {
        switch (event) {
            case LeaseHeld held -> updateLease(held, nowNanos);
            case LeaseLost lost -> lease = Optional.empty();
            case EnginesListed listed -> updateEngines(listed.engines());
            case Reported reported -> applyReport(reported, nowNanos);
            case DemandReported reported -> demand = reported.sequencesByModel();
            case LoadsAllowed allowed -> updateRemainingLoads(allowed, nowNanos);
            case OrderEnded ended -> onOrderEnded(ended);
            case Ticked ticked -> {
                // Planning follows every event; a tick only triggers it.
            }
        }
        return plan(nowNanos);
    }

    private void updateLease(LeaseHeld held, long nowNanos) {
        if (lease.isEmpty() || lease.get().epoch() != held.epoch()) {
            leaseSinceNanos = nowNanos;
            placement.clear();
            imbalanceSinceNanos = Optional.empty();
        }
        lease = Optional.of(held);
    }

    private void updateEngines(ImmutableList<Engine> listed) {
        Map<TargetId, EngineState> previous = new TreeMap<>(engines);
        engines.clear();
        for (Engine engine : listed) {
            if (engine.usable()) {
                EngineState state = previous.getOrDefault(engine.id(), new EngineState(engine));
                state.engine = engine;
                engines.put(engine.id(), state);
            }
        }
    }

    private void applyReport(Reported reported, long nowNanos) {
        EngineState state = engines.get(reported.engine());
        if (state != null) {
            state.applyReport(reported, nowNanos);
        }
    }

    private void updateRemainingLoads(LoadsAllowed allowed, long nowNanos) {
        remainingLoads = allowed.loads();
        loadsReportedNanos = nowNanos;
    }

    private void onOrderEnded(OrderEnded ended) {
        EngineState state = engines.get(ended.engine());
        if (state != null) {
            state.onCallEnded(ended.result());
        }
        if (ended.result() == PlannerEvent.Result.REFUSED) {
            // Another planner has a higher epoch; this one sends no orders until its lease is renewed.
            lease = Optional.empty();
        }
    }

    private ImmutableList<PlannerEffect> plan(long nowNanos) {
        boolean leaseValid = lease.isPresent() && nowNanos - lease.get().expiryNanos() < 0;
        if (!leaseValid || settings.models().isEmpty()) {
            return ImmutableList.of();
        }
        Map<TargetId, EngineState> reported = new TreeMap<>();
        for (Map.Entry<TargetId, EngineState> entry : engines.entrySet()) {
            entry.getValue().expireOrder(nowNanos, settings.orderTimeout().toNanos());
            if (entry.getValue().hasReportSince(leaseSinceNanos)) {
                reported.put(entry.getKey(), entry.getValue());
            }
        }
        placement.updateEngines(reported, demand);
        planMove(reported, nowNanos);
        return planOrders(reported, nowNanos);
    }

    private void planMove(Map<TargetId, EngineState> reported, long nowNanos) {
        Optional<ModelPlacement.Move> move = placement.bestMove(reported, demand);
        if (move.isEmpty()) {
            imbalanceSinceNanos = Optional.empty();
            return;
        }
        if (imbalanceSinceNanos.isEmpty()) {
            imbalanceSinceNanos = Optional.of(nowNanos);
        }
        boolean dwellElapsed =
                nowNanos - imbalanceSinceNanos.get() >= settings.dwell().toNanos();
        if (dwellElapsed || move.get().urgent()) {
            placement.apply(move.get());
            imbalanceSinceNanos = Optional.empty();
        }
    }

    private ImmutableList<PlannerEffect> planOrders(Map<TargetId, EngineState> reported, long nowNanos) {
        ImmutableList.Builder<PlannerEffect> effects = ImmutableList.builder();
        boolean loadsExhausted = false;
        for (EngineState state : reported.values()) {
            Optional<Order> order = placement.desiredModel(state.engine.id()).flatMap(model -> nextOrder(state, model));
            if (order.isEmpty() || state.hasPendingOrder() || !leaseOutlastsCall(state, nowNanos)) {
                continue;
            }
            if (!reserveLoad(state, order.get(), nowNanos)) {
                loadsExhausted = true;
                continue;
            }
            state.recordSent(order.get(), nowNanos);
            effects.add(sendEffect(state, order.get()));
        }
        if (loadsExhausted && (!loadsQueried || nowNanos - loadsQueriedNanos >= LOADS_QUERY_INTERVAL_NANOS)) {
            loadsQueried = true;
            loadsQueriedNanos = nowNanos;
            effects.add(new QueryWeightStore());
        }
        return effects.build();
    }

    /** Returns whether the weight store allows the order; an unload requires and reserves the load that follows it. */
    private boolean reserveLoad(EngineState state, Order order, long nowNanos) {
        boolean overLimit = state.models.size() > settings.modelsPerEngine();
        if (order instanceof ChangeRole || overLimit) {
            return true;
        }
        if (!state.loadReserved) {
            if (remainingLoads == 0 || nowNanos - loadsReportedNanos >= LOADS_VALIDITY_NANOS) {
                return false;
            }
            remainingLoads--;
        }
        state.loadReserved = order instanceof UnloadModel;
        return true;
    }

    private PlannerEffect sendEffect(EngineState state, Order order) {
        LeaseHeld held = lease.orElseThrow();
        long callNanos =
                state.engine.checksFencing() ? 0 : settings.callTimeout().toNanos();
        return new Send(state.engine.id(), order, held.epoch(), held.expiryNanos() - callNanos);
    }

    private boolean leaseOutlastsCall(EngineState state, long nowNanos) {
        long remainingNanos = lease.orElseThrow().expiryNanos() - nowNanos;
        return state.engine.checksFencing()
                || remainingNanos >= settings.callTimeout().toNanos();
    }

    /** Returns the next order that brings the engine closer to having the model loaded in the configured role. */
    private Optional<Order> nextOrder(EngineState state, ModelId model) {
        if (!state.role.equals(settings.role())) {
            return Optional.of(new ChangeRole(settings.role()));
        }
        boolean loaded = state.models.contains(model);
        if (loaded && state.models.size() <= settings.modelsPerEngine()) {
            return Optional.empty();
        }
        if (!loaded && state.models.size() < settings.modelsPerEngine()) {
            return Optional.of(new LoadModel(model));
        }
        return state.models.stream()
                .filter(other -> !other.equals(model))
                .min(Comparator.<ModelId>comparingDouble(other -> demand.getOrDefault(other, 0.0))
                        .thenComparing(ModelId::value))
                .map(UnloadModel::new);
    }
}
