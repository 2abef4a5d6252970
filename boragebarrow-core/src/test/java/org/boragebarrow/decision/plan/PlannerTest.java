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
    private static final ModelId DRAFT = PlannerWorld.DRAFT;
    private static final ModelId STOCK = PlannerWorld.STOCK;
    private static final TargetId ENGINE = TargetId.of("engine-0");
    private static final Duration LEASE = Duration.ofSeconds(10);

    private final Planner planner = new Planner(PlannerSettings.of(ImmutableSet.of(DRAFT)));

    @Property(seed = SEED, tries = TRIES)
    void lateAndDoubledOrdersAreCorrectedAndEnginesAreThenLeftAlone(@ForAll("chains") ActionChain<PlannerWorld> chain) {
        chain.run().checkEnd();
    }

    @Example
    void nothingIsOrderedWithoutTheLease() {
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
    void anEngineThatIgnoresFencingGetsNoOrderWhenTheLeaseMayLapseDuringTheCall() {
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
    void anOrderIsNotSentAgainWhileItsCallLasts() {
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
    void aSwingOfDemandMovesAnEngineOnlyAfterItHasLasted() {
        PlannerWorld simulation = new PlannerWorld();
        simulation.checkEnd();
        simulation.demand(0, 1, 100);
        assertThat(stockEngines(simulation)).isEqualTo(2);
        simulation.checkEnd();
        assertThat(stockEngines(simulation)).isEqualTo(3);
    }

    private static long stockEngines(PlannerWorld simulation) {
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
    Arbitrary<ActionChain<PlannerWorld>> chains() {
        Arbitrary<Integer> any = Arbitraries.integers().between(0, 20);
        Arbitrary<Integer> holder = Arbitraries.integers().between(0, PlannerWorld.PLANNERS - 1);
        Arbitrary<Integer> engine = Arbitraries.integers().between(0, PlannerWorld.ENGINES - 1);
        return ActionChain.startWith(PlannerWorld::new)
                .withAction(6, on("lease", holder, PlannerWorld::lease))
                .withAction(20, on("report", engine, PlannerWorld::report))
                .withAction(
                        10,
                        on(
                                "advance s",
                                Arbitraries.of(1, 3, 70),
                                (simulation, seconds) -> simulation.advance(Duration.ofSeconds(seconds))))
                .withAction(10, on("deliver", any, PlannerWorld::deliver))
                .withAction(4, on("delay", any, PlannerWorld::delay))
                .withAction(4, on("deliver late", any, PlannerWorld::deliverLate))
                .withAction(4, on("demand", any, (simulation, i) -> simulation.demand(i % PlannerWorld.PLANNERS, 5, i)))
                .withMaxTransformations(MAX_STEPS);
    }

    private static <T> Action.Independent<PlannerWorld> on(
            String name, Arbitrary<T> values, BiConsumer<PlannerWorld, T> step) {
        return () -> values.map(
                value -> Transformer.mutate(name + " " + value, simulation -> step.accept(simulation, value)));
    }
}
