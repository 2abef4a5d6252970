package org.boragebarrow.decision.claim;

import java.time.Duration;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.testing.CommitFault;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ClaimFuzzTest {
    private static final String SEED = "20261204";
    private static final int TRIES = 2_000;
    private static final int MAX_STEPS = 150;

    /** {@link ClaimHost} checks at each step that no call is dispatched twice and that "not run" answers are right. */
    @Property(seed = SEED, tries = TRIES)
    void aKeyIsDispatchedAtMostOnceAndIsNeverBlockedWithoutCause(@ForAll("chains") ActionChain<ClaimSimulation> chain) {
        ClaimSimulation simulation = chain.run();
        simulation.quiesce();
        for (int i = 0; i < ClaimSimulation.KEYS; i++) {
            checkEnd(simulation, ClaimSimulation.key(i));
        }
    }

    private static void checkEnd(ClaimSimulation simulation, ClaimKey key) {
        ClaimSimulation.CallRecord call = simulation.recordOf(key);
        if (call.dispatched.isEmpty()) {
            if (!call.crashed) {
                ClaimManagerEffect outcome = simulation.probe(key, "hash-0");
                assertWithMessage("%s never ran", key).that(outcome).isInstanceOf(ClaimManagerEffect.Granted.class);
            }
            return;
        }
        ClaimManagerEffect outcome = simulation.probe(key, call.requestHash);
        if (!call.answers.isEmpty() && !call.crashed) {
            assertThat(outcome).isInstanceOf(ClaimManagerEffect.Replayed.class);
        }
        if (call.answers.isEmpty()) {
            assertThat(outcome).isInstanceOf(ClaimManagerEffect.Refused.class);
            assertThat(((ClaimManagerEffect.Refused) outcome).kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
        }
        assertThat(((ClaimManagerEffect.Refused) simulation.probe(key, "other")).kind())
                .isEqualTo(ErrorKind.KEY_REUSED);
    }

    @Provide
    Arbitrary<ActionChain<ClaimSimulation>> chains() {
        return ActionChain.startWith(ClaimSimulation::new)
                .withAction(8, requests())
                .withAction(40, on("deliver", Arbitraries.integers().between(0, 50), ClaimSimulation::deliver))
                .withAction(6, on("fail next commit", Arbitraries.of(CommitFault.class), ClaimSimulation::failNext))
                .withAction(
                        6,
                        on(
                                "advance ms",
                                Arbitraries.of(10, 100, 3_000),
                                (simulation, millis) -> simulation.advance(Duration.ofMillis(millis))))
                .withAction(6, onHost("dispatch", ClaimHost::dispatch))
                .withAction(3, onHost("finish", ClaimHost::finish))
                .withAction(2, onHost("interrupt", ClaimHost::interrupt))
                .withAction(3, onHost("abandon granted", ClaimHost::abandonGranted))
                .withAction(3, onHost("abandon waiting", ClaimHost::abandonPending))
                .withAction(2, onHost("pause", ClaimHost::pause))
                .withAction(3, onHost("resume", ClaimHost::resume))
                .withAction(1, on("crash", hostIndexes(), ClaimSimulation::crash))
                .withAction(
                        1,
                        on("down", Arbitraries.of(true, false), (simulation, down) -> simulation.table.setDown(down)))
                .withAction(
                        2,
                        on(
                                "double swaps",
                                Arbitraries.of(true, false),
                                (simulation, on) -> simulation.duplicateSwaps = on))
                .withMaxTransformations(MAX_STEPS);
    }

    private static Action.Independent<ClaimSimulation> requests() {
        Arbitrary<Integer> key = Arbitraries.integers().between(0, ClaimSimulation.KEYS - 1);
        Arbitrary<String> hash = Arbitraries.frequency(Tuple.of(9, "hash-0"), Tuple.of(1, "hash-1"));
        Arbitrary<Duration> timeout = Arbitraries.of(Duration.ofMillis(50), Duration.ofSeconds(10));
        return () -> Combinators.combine(hostIndexes(), key, hash, timeout)
                .as((h, k, text, time) -> Transformer.mutate(
                        "request key " + k + " with " + text + " at host " + h,
                        simulation -> simulation.hosts.get(h).request(ClaimSimulation.key(k), text, time)));
    }

    private static Arbitrary<Integer> hostIndexes() {
        return Arbitraries.integers().between(0, ClaimSimulation.HOSTS - 1);
    }

    private static Action.Independent<ClaimSimulation> onHost(String name, Consumer<ClaimHost> step) {
        return on(name, hostIndexes(), (simulation, host) -> step.accept(simulation.hosts.get(host)));
    }

    private static <T> Action.Independent<ClaimSimulation> on(
            String name, Arbitrary<T> values, BiConsumer<ClaimSimulation, T> step) {
        return () -> values.map(
                value -> Transformer.mutate(name + " " + value, simulation -> step.accept(simulation, value)));
    }
}
