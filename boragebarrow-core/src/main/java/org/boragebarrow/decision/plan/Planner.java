package org.boragebarrow.decision.plan;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.plan.PlannerEffect.AskWeightStore;
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
 * fencing numbers refuses the orders of the older planner. At an engine that ignores them, the current planner detects
 * the effect of a late order in the next report and corrects it; an order is sent to such an engine only if the lease
 * outlasts the call.
 */
public final class Planner implements Machine<PlannerEvent, PlannerEffect> {
    private static final long ALLOWED_NANOS = Duration.ofMinutes(1).toNanos();
    private static final long ASK_NANOS = Duration.ofSeconds(10).toNanos();

    private final PlannerSettings settings;
    private final ModelPlacement placement;
    private final Map<TargetId, EngineState> engines = new TreeMap<>();
    private ImmutableMap<ModelId, Double> demand = ImmutableMap.of();
    private Optional<LeaseHeld> lease = Optional.empty();
    private long leaseSinceNanos;
    private Optional<Long> lackSinceNanos = Optional.empty();
    private int loadsAllowed;
    private long allowedNanos;
    private boolean asked;
    private long askedNanos;

    public Planner(PlannerSettings settings) {
        this.settings = checkNotNull(settings);
        this.placement = new ModelPlacement(settings.models());
    }

    @Override
    public ImmutableList<PlannerEffect> apply(PlannerEvent event, long nowNanos) {
        switch (event) {
            case LeaseHeld held -> hold(held, nowNanos);
            case LeaseLost lost -> lease = Optional.empty();
            case EnginesListed listed -> list(listed.engines());
            case Reported reported -> report(reported, nowNanos);
            case DemandReported reported -> demand = reported.tokensPerSecond();
            case LoadsAllowed allowed -> allow(allowed, nowNanos);
            case OrderEnded ended -> end(ended);
            case Ticked ticked -> {
                // Planning follows every event; a tick only triggers it.
            }
        }
        return plan(nowNanos);
    }

    private void hold(LeaseHeld held, long nowNanos) {
        if (lease.isEmpty() || lease.get().epoch() != held.epoch()) {
            leaseSinceNanos = nowNanos;
            placement.clear();
            lackSinceNanos = Optional.empty();
        }
        lease = Optional.of(held);
    }

    private void list(ImmutableList<Engine> listed) {
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

    private void report(Reported reported, long nowNanos) {
        EngineState state = engines.get(reported.engine());
        if (state != null) {
            state.report(reported, nowNanos);
        }
    }

    private void allow(LoadsAllowed allowed, long nowNanos) {
        loadsAllowed = allowed.loads();
        allowedNanos = nowNanos;
    }

    private void end(OrderEnded ended) {
        EngineState state = engines.get(ended.engine());
        if (state != null) {
            state.orderEnded(ended.result());
        }
        if (ended.result() == PlannerEvent.Result.REFUSED) {
            // Another planner has a higher epoch; this one sends no orders until its lease is renewed.
            lease = Optional.empty();
        }
    }

    private ImmutableList<PlannerEffect> plan(long nowNanos) {
        boolean leaseValid = lease.isPresent() && nowNanos - lease.get().untilNanos() < 0;
        if (!leaseValid || settings.models().isEmpty()) {
            return ImmutableList.of();
        }
        Map<TargetId, EngineState> reported = new TreeMap<>();
        for (Map.Entry<TargetId, EngineState> entry : engines.entrySet()) {
            entry.getValue().expire(nowNanos, settings.longestOrder().toNanos());
            if (entry.getValue().isReportedSince(leaseSinceNanos)) {
                reported.put(entry.getKey(), entry.getValue());
            }
        }
        placement.assign(reported, demand);
        move(reported, nowNanos);
        return orders(reported, nowNanos);
    }

    private void move(Map<TargetId, EngineState> reported, long nowNanos) {
        Optional<ModelPlacement.Move> move = placement.move(reported, demand);
        if (move.isEmpty()) {
            lackSinceNanos = Optional.empty();
            return;
        }
        if (lackSinceNanos.isEmpty()) {
            lackSinceNanos = Optional.of(nowNanos);
        }
        boolean dwellElapsed = nowNanos - lackSinceNanos.get() >= settings.dwell().toNanos();
        if (dwellElapsed || move.get().urgent()) {
            placement.apply(move.get());
            lackSinceNanos = Optional.empty();
        }
    }

    private ImmutableList<PlannerEffect> orders(Map<TargetId, EngineState> reported, long nowNanos) {
        ImmutableList.Builder<PlannerEffect> effects = ImmutableList.builder();
        boolean loadsExhausted = false;
        for (EngineState state : reported.values()) {
            Optional<Order> order = placement.wantedAt(state.engine.id()).flatMap(model -> difference(state, model));
            if (order.isEmpty() || state.hasOrder() || !outlastsCall(state, nowNanos)) {
                continue;
            }
            if (!reserveLoad(state, order.get(), nowNanos)) {
                loadsExhausted = true;
                continue;
            }
            state.send(order.get(), nowNanos);
            effects.add(send(state, order.get()));
        }
        if (loadsExhausted && (!asked || nowNanos - askedNanos >= ASK_NANOS)) {
            asked = true;
            askedNanos = nowNanos;
            effects.add(new AskWeightStore());
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
            if (loadsAllowed == 0 || nowNanos - allowedNanos >= ALLOWED_NANOS) {
                return false;
            }
            loadsAllowed--;
        }
        state.loadReserved = order instanceof UnloadModel;
        return true;
    }

    private PlannerEffect send(EngineState state, Order order) {
        LeaseHeld held = lease.orElseThrow();
        long callNanos = state.engine.checksFencing() ? 0 : settings.longestCall().toNanos();
        return new Send(state.engine.id(), order, held.epoch(), held.untilNanos() - callNanos);
    }

    private boolean outlastsCall(EngineState state, long nowNanos) {
        long remainingNanos = lease.orElseThrow().untilNanos() - nowNanos;
        return state.engine.checksFencing() || remainingNanos >= settings.longestCall().toNanos();
    }

    /** Returns the next order that brings the engine closer to having the model loaded in the configured role. */
    private Optional<Order> difference(EngineState state, ModelId model) {
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
