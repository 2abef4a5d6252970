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
    void anAcceptedChangeIsAcceptedOnceAndComesIntoForceOnEveryHostAndNeverReverts(
            @ForAll("chains") ActionChain<ChangeWorld> chain) {
        chain.run().checkEnd();
    }

    @Property(seed = SEED, tries = TRIES)
    void aHostCatchesUpFromSnapshotsWhileTheLogIsTrimmed(@ForAll("trimmingChains") ActionChain<ChangeWorld> chain) {
        chain.run().checkEnd();
    }

    @Provide
    Arbitrary<ActionChain<ChangeWorld>> chains() {
        return chains(false);
    }

    @Provide
    Arbitrary<ActionChain<ChangeWorld>> trimmingChains() {
        return chains(true);
    }

    private static Arbitrary<ActionChain<ChangeWorld>> chains(boolean trimming) {
        Arbitrary<Integer> any = Arbitraries.integers().between(0, 50);
        Arbitrary<Integer> host = Arbitraries.integers().between(0, ChangeWorld.HOSTS - 1);
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        return ActionChain.startWith(() -> new ChangeWorld(trimming))
                .withAction(10, submissions())
                .withAction(3, on("repeat", any, (simulation, i) -> simulation.repeat(i % ChangeWorld.WRITERS, i)))
                .withAction(60, on("deliver", any, ChangeWorld::deliver))
                .withAction(5, on("fail next commit", Arbitraries.of(CommitFault.class), ChangeWorld::failNext))
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
                                        i % ChangeWorld.HOSTS, i / ChangeWorld.HOSTS % ChangeWorld.HOSTS)))
                .withAction(8, on("message", any, (simulation, i) -> simulation.deliverMessage(i, false)))
                .withAction(2, on("message twice", any, (simulation, i) -> simulation.deliverMessage(i, true)))
                .withAction(2, on("lose message", any, ChangeWorld::dropMessage))
                .withAction(2, on("restart", host, ChangeWorld::restart))
                .withAction(1, on("down", flag, ChangeWorld::setDown))
                .withMaxTransformations(MAX_STEPS);
    }

    private static Action.Independent<ChangeWorld> submissions() {
        Arbitrary<ChangeEntry> entry = Arbitraries.of(
                Changes.plan("kalibrasi", "gold"),
                Changes.plan("kalibrasi", "silver"),
                Changes.noPlan("kalibrasi"),
                Changes.allowance("gold", 1),
                Changes.allowance("gold", 2),
                Changes.order("engine-1", false));
        Arbitrary<Integer> writer = Arbitraries.integers().between(0, ChangeWorld.WRITERS - 1);
        Arbitrary<Integer> host = Arbitraries.integers().between(0, ChangeWorld.HOSTS - 1);
        return () -> Combinators.combine(writer, entry, Arbitraries.of(true, false), host)
                .as((w, e, conditional, h) -> Transformer.mutate(
                        "submit " + e.key() + " to " + w + (conditional ? " as seen by " + h : ""),
                        simulation -> simulation.submit(w, e, conditional, h)));
    }

    private static <T> Action.Independent<ChangeWorld> on(
            String name, Arbitrary<T> values, BiConsumer<ChangeWorld, T> step) {
        return () -> values.map(
                value -> Transformer.mutate(name + " " + value, simulation -> step.accept(simulation, value)));
    }
}
