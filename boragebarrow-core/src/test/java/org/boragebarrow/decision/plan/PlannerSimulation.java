package org.boragebarrow.decision.plan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Simulates two planners that hold the lease in turn, and engines of which only some check fencing numbers. */
final class PlannerSimulation {
    static final ModelId DRAFT = ModelId.of("draft");
    static final ModelId STOCK = ModelId.of("stock");
    static final int PLANNERS = 2;
    static final int ENGINES = 4;

    private static final Duration LEASE = Duration.ofSeconds(10);
    private static final int STABLE_ROUNDS = 200;
    private static final int MAX_ROUNDS = 2_000;

    final List<Planner> planners = new ArrayList<>();
    final List<FakeEngine> engines = new ArrayList<>();
    private final List<PlannerEffect.Send> calls = new ArrayList<>();
    private final List<Integer> callers = new ArrayList<>();
    private final List<PlannerEffect.Send> delayedOrders = new ArrayList<>();
    private final Map<Integer, Integer> remainingLoads = new HashMap<>();
    private long nowNanos = 1;
    private long epoch;
    private int holder;
    private long orders;

    PlannerSimulation() {
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new FakeEngine(TargetId.of("engine-" + i), i % 2 == 0));
        }
        ImmutableList<PlannerEvent.Engine> listed = engines.stream()
                .map(engine -> new PlannerEvent.Engine(engine.id, engine.checksFencing, true))
                .collect(ImmutableList.toImmutableList());
        for (int i = 0; i < PLANNERS; i++) {
            planners.add(new Planner(PlannerSettings.of(ImmutableSet.of(DRAFT, STOCK))));
            apply(i, new PlannerEvent.EnginesListed(listed));
            reportDemand(i, 1, 1);
        }
    }

    void reportDemand(int planner, double draft, double stock) {
        apply(planner, new PlannerEvent.DemandReported(ImmutableMap.of(DRAFT, draft, STOCK, stock)));
    }

    /** Gives the lease to a planner; the other one is not notified that it has lost it. */
    void grantLease(int planner) {
        if (planner != holder || epoch == 0) {
            epoch++;
            holder = planner;
        }
        apply(planner, new PlannerEvent.LeaseHeld(epoch, nowNanos + LEASE.toNanos()));
    }

    void report(int engine) {
        for (int i = 0; i < PLANNERS; i++) {
            FakeEngine reporter = engines.get(engine);
            ImmutableSet<ModelId> models = ImmutableSet.copyOf(reporter.models);
            apply(i, new PlannerEvent.Reported(reporter.id, models, reporter.role, 0, Duration.ZERO));
        }
    }

    void advance(Duration time) {
        nowNanos += time.toNanos();
        for (int i = 0; i < PLANNERS; i++) {
            apply(i, new PlannerEvent.Ticked());
        }
    }

    void deliverCall(int index) {
        if (!calls.isEmpty()) {
            int chosen = index % calls.size();
            PlannerEffect.Send call = calls.remove(chosen);
            int caller = callers.remove(chosen);
            apply(caller, new PlannerEvent.OrderEnded(call.engine(), execute(call)));
        }
    }

    /** Reports a failed call to the planner, while the order still reaches the engine later. */
    void delayCall(int index) {
        if (!calls.isEmpty()) {
            int chosen = index % calls.size();
            PlannerEffect.Send call = calls.remove(chosen);
            delayedOrders.add(call);
            apply(callers.remove(chosen), new PlannerEvent.OrderEnded(call.engine(), PlannerEvent.Result.FAILED));
        }
    }

    void deliverDelayed(int index) {
        if (!delayedOrders.isEmpty()) {
            execute(delayedOrders.remove(index % delayedOrders.size()));
        }
    }

    private PlannerEvent.Result execute(PlannerEffect.Send call) {
        return engines.stream()
                .filter(engine -> engine.id.equals(call.engine()))
                .findFirst()
                .orElseThrow()
                .execute(call.order(), call.fencingNumber());
    }

    private void apply(int planner, PlannerEvent event) {
        for (PlannerEffect effect : planners.get(planner).apply(event, nowNanos)) {
            switch (effect) {
                case PlannerEffect.Send send -> send(planner, send);
                case PlannerEffect.QueryWeightStore query -> {
                    remainingLoads.merge(planner, 1, Integer::sum);
                    apply(planner, new PlannerEvent.LoadsAllowed(1));
                }
            }
        }
    }

    private void send(int planner, PlannerEffect.Send send) {
        orders++;
        for (int i = 0; i < calls.size(); i++) {
            boolean same = callers.get(i) == planner && calls.get(i).engine().equals(send.engine());
            assertWithMessage("second order in flight: %s", send).that(same).isFalse();
        }
        assertWithMessage("sent in time").that(send.notAfterNanos()).isAtLeast(nowNanos);
        if (send.order() instanceof EngineControl.LoadModel) {
            int remaining = remainingLoads.merge(planner, -1, Integer::sum);
            assertWithMessage("loads that the weight store allows")
                    .that(remaining)
                    .isAtLeast(0);
        }
        calls.add(send);
        callers.add(planner);
    }

    /** Ends all faults and checks that one planner brings the engines to the desired state and then sends no orders. */
    void checkConvergence() {
        while (!delayedOrders.isEmpty()) {
            deliverDelayed(0);
        }
        long lastOrders = -1;
        int stable = 0;
        for (int round = 0; round < MAX_ROUNDS && stable < STABLE_ROUNDS; round++) {
            grantLease(0);
            while (!calls.isEmpty()) {
                deliverCall(0);
            }
            for (int i = 0; i < ENGINES; i++) {
                report(i);
            }
            advance(Duration.ofSeconds(3));
            stable = orders == lastOrders ? stable + 1 : 0;
            lastOrders = orders;
        }
        assertWithMessage("rounds without an order").that(stable).isEqualTo(STABLE_ROUNDS);
        Set<ModelId> served = new TreeSet<>();
        for (FakeEngine engine : engines) {
            assertWithMessage("models of %s", engine.id).that(engine.models).hasSize(1);
            assertThat(engine.role).isEqualTo("both");
            served.addAll(engine.models);
        }
        assertThat(served).containsExactly(DRAFT, STOCK);
    }

    /** An engine that executes orders at once. */
    static final class FakeEngine {
        final Set<ModelId> models = new TreeSet<>(Set.of(DRAFT));
        String role = "both";
        private final TargetId id;
        private final boolean checksFencing;
        private long highestFencingNumber;

        FakeEngine(TargetId id, boolean checksFencing) {
            this.id = id;
            this.checksFencing = checksFencing;
        }

        PlannerEvent.Result execute(EngineControl.Order order, long fencingNumber) {
            if (checksFencing && fencingNumber < highestFencingNumber) {
                return PlannerEvent.Result.REFUSED;
            }
            highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
            switch (order) {
                case EngineControl.LoadModel load -> models.add(load.model());
                case EngineControl.UnloadModel unload -> models.remove(unload.model());
                case EngineControl.ChangeRole change -> role = change.role();
            }
            return PlannerEvent.Result.ACCEPTED;
        }
    }
}
