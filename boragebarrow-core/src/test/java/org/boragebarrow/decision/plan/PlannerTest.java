package org.boragebarrow.decision.plan;

import java.time.Duration;
import java.util.function.BiConsumer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

import static com.google.common.truth.Truth.assertThat;

class PlannerTest {
    private static final String SEED = "20261204";
    private static final int TRIES = 500;
    private static final int MAX_STEPS = 150;
    private static final ModelId DRAFT = PlannerSimulation.DRAFT;
    private static final ModelId STOCK = PlannerSimulation.STOCK;
    private static final TargetId ENGINE = TargetId.of("engine-0");
    private static final Duration LEASE = Duration.ofSeconds(10);

    private final Planner planner = new Planner(PlannerSettings.of(ImmutableSet.of(DRAFT)));

    @Property(seed = SEED, tries = TRIES)
    void lateAndDuplicateOrdersAreCorrectedAndNoFurtherOrdersFollow(
            @ForAll("chains") ActionChain<PlannerSimulation> chain) {
        chain.run().checkConvergence();
    }

    @Example
    void noOrderIsSentWithoutTheLease() {
        assertThat(start(true)).isEmpty();
        assertThat(apply(new PlannerEvent.LeaseHeld(7, 5), 5)).isEmpty();
    }

    @Example
    void anOrderCarriesTheEpochOfTheLease() {
        start(true);
        apply(new PlannerEvent.LeaseHeld(7, LEASE.toNanos()), 1);
        apply(new PlannerEvent.LoadsAllowed(1), 1);
        assertThat(apply(report(), 2))
                .containsExactly(
                        new PlannerEffect.Send(ENGINE, new EngineControl.LoadModel(DRAFT), 7, LEASE.toNanos()));
    }

    @Example
    void anEngineThatIgnoresFencingGetsNoOrderWhenTheLeaseMayExpireDuringTheCall() {
        start(false);
        long now = LEASE.minusSeconds(1).toNanos();
        apply(new PlannerEvent.LeaseHeld(7, LEASE.toNanos()), now);
        apply(new PlannerEvent.LoadsAllowed(1), now);
        assertThat(apply(report(), now)).isEmpty();
        long renewed = LEASE.multipliedBy(2).toNanos();
        EngineControl.Order load = new EngineControl.LoadModel(DRAFT);
        long notAfter = renewed - Duration.ofSeconds(2).toNanos();
        assertThat(apply(new PlannerEvent.LeaseHeld(7, renewed), now))
                .containsExactly(new PlannerEffect.Send(ENGINE, load, 7, notAfter));
    }

    @Example
    void anOrderIsNotSentAgainWhileItsCallIsPending() {
        start(true);
        long later = Duration.ofHours(1).toNanos();
        apply(new PlannerEvent.LeaseHeld(7, 2 * later), 1);
        apply(new PlannerEvent.LoadsAllowed(1), 1);
        assertThat(apply(report(), 1)).hasSize(1);
        apply(new PlannerEvent.LoadsAllowed(1), later);
        assertThat(apply(report(), later)).isEmpty();
        assertThat(apply(new PlannerEvent.OrderEnded(ENGINE, PlannerEvent.Result.FAILED), later))
                .hasSize(1);
    }

    @Example
    void aShiftOfDemandMovesAnEngineOnlyAfterTheDwellTime() {
        PlannerSimulation simulation = new PlannerSimulation();
        simulation.checkConvergence();
        simulation.reportDemand(0, 1, 100);
        assertThat(stockEngines(simulation)).isEqualTo(2);
        simulation.checkConvergence();
        assertThat(stockEngines(simulation)).isEqualTo(3);
    }

    private static long stockEngines(PlannerSimulation simulation) {
        return simulation.engines.stream()
                .filter(engine -> engine.models.contains(STOCK))
                .count();
    }

    private ImmutableList<PlannerEffect> start(boolean checksFencing) {
        apply(
                new PlannerEvent.EnginesListed(ImmutableList.of(new PlannerEvent.Engine(ENGINE, checksFencing, true))),
                0);
        apply(new PlannerEvent.DemandReported(ImmutableMap.of(DRAFT, 1.0)), 0);
        return apply(report(), 0);
    }

    private static PlannerEvent.Reported report() {
        return new PlannerEvent.Reported(ENGINE, ImmutableSet.of(), "both", 0, Duration.ZERO);
    }

    private ImmutableList<PlannerEffect> apply(PlannerEvent event, long nowNanos) {
        return planner.apply(event, nowNanos);
    }

    @Provide
    Arbitrary<ActionChain<PlannerSimulation>> chains() {
        Arbitrary<Integer> any = Arbitraries.integers().between(0, 20);
        Arbitrary<Integer> holder = Arbitraries.integers().between(0, PlannerSimulation.PLANNERS - 1);
        Arbitrary<Integer> engine = Arbitraries.integers().between(0, PlannerSimulation.ENGINES - 1);
        return ActionChain.startWith(PlannerSimulation::new)
                .withAction(6, action("lease", holder, PlannerSimulation::grantLease))
                .withAction(20, action("report", engine, PlannerSimulation::report))
                .withAction(
                        10,
                        action(
                                "advance s",
                                Arbitraries.of(1, 3, 70),
                                (simulation, seconds) -> simulation.advance(Duration.ofSeconds(seconds))))
                .withAction(10, action("deliver", any, PlannerSimulation::deliverCall))
                .withAction(4, action("delay", any, PlannerSimulation::delayCall))
                .withAction(4, action("deliver late", any, PlannerSimulation::deliverDelayed))
                .withAction(
                        4,
                        action(
                                "demand",
                                any,
                                (simulation, i) -> simulation.reportDemand(i % PlannerSimulation.PLANNERS, 5, i)))
                .withMaxTransformations(MAX_STEPS);
    }

    private static <T> Action.Independent<PlannerSimulation> action(
            String name, Arbitrary<T> values, BiConsumer<PlannerSimulation, T> step) {
        return () -> values.map(
                value -> Transformer.mutate(name + " " + value, simulation -> step.accept(simulation, value)));
    }
}
