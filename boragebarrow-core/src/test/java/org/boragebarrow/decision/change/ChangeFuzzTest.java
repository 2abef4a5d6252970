package org.boragebarrow.decision.change;

import java.time.Duration;
import java.util.function.BiConsumer;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.boragebarrow.testing.CommitFault;

class ChangeFuzzTest {
    private static final String SEED = "20261204";
    private static final int TRIES = 1_000;
    private static final int MAX_STEPS = 200;

    @Property(seed = SEED, tries = TRIES)
    void aChangeIsAcceptedOnlyOnceAndThenAppliedOnEveryHostAndNeverReverted(
            @ForAll("chains") ActionChain<ChangeSimulation> chain) {
        chain.run().checkEnd();
    }

    @Property(seed = SEED, tries = TRIES)
    void aHostCatchesUpFromSnapshotsWhileTheLogIsTrimmed(
            @ForAll("trimmingChains") ActionChain<ChangeSimulation> chain) {
        chain.run().checkEnd();
    }

    @Provide
    Arbitrary<ActionChain<ChangeSimulation>> chains() {
        return chains(false);
    }

    @Provide
    Arbitrary<ActionChain<ChangeSimulation>> trimmingChains() {
        return chains(true);
    }

    private static Arbitrary<ActionChain<ChangeSimulation>> chains(boolean trimming) {
        Arbitrary<Integer> any = Arbitraries.integers().between(0, 50);
        Arbitrary<Integer> host = Arbitraries.integers().between(0, ChangeSimulation.HOSTS - 1);
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        return ActionChain.startWith(() -> new ChangeSimulation(trimming))
                .withAction(10, submissions())
                .withAction(
                        3, on("repeat", any, (simulation, i) -> simulation.resubmit(i % ChangeSimulation.WRITERS, i)))
                .withAction(60, on("deliver", any, ChangeSimulation::deliver))
                .withAction(5, on("fail next commit", Arbitraries.of(CommitFault.class), ChangeSimulation::failNext))
                .withAction(
                        10,
                        on(
                                "advance ms",
                                Arbitraries.of(10, 100, 1_000, 11_000),
                                (simulation, millis) -> simulation.advance(Duration.ofMillis(millis))))
                .withAction(
                        8,
                        on(
                                "gossip",
                                any,
                                (simulation, i) -> simulation.gossip(
                                        i % ChangeSimulation.HOSTS,
                                        i / ChangeSimulation.HOSTS % ChangeSimulation.HOSTS)))
                .withAction(8, on("message", any, (simulation, i) -> simulation.deliverMessage(i, false)))
                .withAction(2, on("message twice", any, (simulation, i) -> simulation.deliverMessage(i, true)))
                .withAction(2, on("lose message", any, ChangeSimulation::dropMessage))
                .withAction(2, on("restart", host, ChangeSimulation::restart))
                .withAction(1, on("down", flag, ChangeSimulation::setDown))
                .withMaxTransformations(MAX_STEPS);
    }

    private static Action.Independent<ChangeSimulation> submissions() {
        Arbitrary<ChangeEntry> entry = Arbitraries.of(
                Changes.plan("kalibrasi", "gold"),
                Changes.plan("kalibrasi", "silver"),
                Changes.deletedPlan("kalibrasi"),
                Changes.allowance("gold", 1),
                Changes.allowance("gold", 2),
                Changes.targetSwitch("engine-1", false));
        Arbitrary<Integer> writer = Arbitraries.integers().between(0, ChangeSimulation.WRITERS - 1);
        Arbitrary<Integer> host = Arbitraries.integers().between(0, ChangeSimulation.HOSTS - 1);
        return () -> Combinators.combine(writer, entry, Arbitraries.of(true, false), host)
                .as((w, e, conditional, h) -> Transformer.mutate(
                        "submit " + e.key() + " to " + w + (conditional ? " as seen by " + h : ""),
                        simulation -> simulation.submit(w, e, conditional, h)));
    }

    private static <T> Action.Independent<ChangeSimulation> on(
            String name, Arbitrary<T> values, BiConsumer<ChangeSimulation, T> step) {
        return () -> values.map(
                value -> Transformer.mutate(name + " " + value, simulation -> step.accept(simulation, value)));
    }
}
