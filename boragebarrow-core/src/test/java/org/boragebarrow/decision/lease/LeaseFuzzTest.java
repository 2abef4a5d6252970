package org.boragebarrow.decision.lease;

import java.time.Duration;
import java.util.function.BiConsumer;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.boragebarrow.testing.CommitFault;

class LeaseFuzzTest {
    private static final String SEED = "20261204";
    private static final int TRIES = 1_000;
    private static final int MAX_STEPS = 200;

    @Property(seed = SEED, tries = TRIES)
    void twoHostsNeverHoldTheLeaseAtOnceAndEpochsNeverDecrease(@ForAll("chains") ActionChain<LeaseSimulation> chain) {
        chain.run().checkEnd();
    }

    @Provide
    Arbitrary<ActionChain<LeaseSimulation>> chains() {
        Arbitrary<Integer> any = Arbitraries.integers().between(0, 20);
        Arbitrary<Integer> host = Arbitraries.integers().between(0, LeaseSimulation.HOSTS - 1);
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        return ActionChain.startWith(LeaseSimulation::new)
                .withAction(40, on("deliver", any, LeaseSimulation::deliver))
                .withAction(
                        25,
                        on(
                                "advance ms",
                                Arbitraries.of(100, 500, 2_500, 9_000, 9_700, 12_000),
                                (simulation, millis) -> simulation.advance(Duration.ofMillis(millis))))
                .withAction(
                        4,
                        on(
                                "fail next commit",
                                Arbitraries.of(CommitFault.class),
                                (simulation, fault) -> simulation.table.failNextCommit(fault)))
                .withAction(
                        2,
                        on(
                                "pause",
                                host,
                                (simulation, h) -> simulation.hosts.get(h).pause()))
                .withAction(
                        3,
                        on(
                                "resume",
                                host,
                                (simulation, h) -> simulation.hosts.get(h).resume()))
                .withAction(1, on("restart", host, LeaseSimulation::restart))
                .withAction(2, on("give up", host, (simulation, h) -> simulation.setWanted(h, false)))
                .withAction(2, on("want", host, (simulation, h) -> simulation.setWanted(h, true)))
                .withAction(1, on("down", flag, (simulation, down) -> simulation.table.setDown(down)))
                .withMaxTransformations(MAX_STEPS);
    }

    private static <T> Action.Independent<LeaseSimulation> on(
            String name, Arbitrary<T> values, BiConsumer<LeaseSimulation, T> step) {
        return () -> values.map(
                value -> Transformer.mutate(name + " " + value, simulation -> step.accept(simulation, value)));
    }
}
