package org.boragebarrow.decision.assign;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.boragebarrow.decision.routing.EngineProfile;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Replays the mixture of lengths of a fleet of 112 engines, of which most are idle between the crests of the load. */
class FleetReplayTest {
    private static final int ENGINES = 112;
    private static final int MAX_TARGETS_OF_A_PROMPT = 16;
    private static final EngineProfile ENGINE =
            new EngineProfile(7, 405_000, 1.31, 0.00131, 0.00213, 154, 0.162, 2_048, 53, 1_329);

    private static final SimulatedLoad.Kind SHORT =
            new SimulatedLoad.Kind("short", 93.7, 4_960, 0.9, 23_800, 26, 409, 300, 1.3);
    private static final SimulatedLoad.Kind DIGEST =
            new SimulatedLoad.Kind("digest", 7.64, 45_000, 0.5, 110_000, 16, 1_514, 800, 2.9);
    private static final SimulatedLoad.Kind LEDGER =
            new SimulatedLoad.Kind("ledger", 1.92, 260_000, 0.55, 900_000, 13, 4_024, 1_200, 30);
    private static final List<SimulatedLoad.Kind> ALL = List.of(SHORT, DIGEST, LEDGER);

    private static SimulatedLoad.Phase phase(double from, double shorts, double digests, double ledgers) {
        return new SimulatedLoad.Phase(from, Map.of("short", shorts, "digest", digests, "ledger", ledgers));
    }

    /** Bursts of long prompts alternate with a burst of short ones; the first one takes nearly all engines. */
    private static final List<SimulatedLoad.Phase> ALTERNATING_BURSTS =
            List.of(phase(0, 0.35, 1.3, 2.8), phase(10, 2.4, 0.5, 0.05), phase(20, 0.35, 1.3, 2.7), phase(30, 0, 0, 0));

    private static final double MIN_VALUE_FRACTION = 0.9;
    private static final int SEEDS = 3;

    private static SimulatedLoad replay(long seed) {
        SimulatedLoad load = new SimulatedLoad(seed, ENGINES, ENGINE);
        load.run(ALL, ALTERNATING_BURSTS, 45);
        return load;
    }

    /** Guards against long prompts that interrupt answers for seconds although targets are about to become idle. */
    @Example
    void eachKindIsServedInBurstsOfLongPromptsBetweenCrestsOfShortOnes() {
        Map<String, Double> sums = new HashMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedLoad load = replay(seed);
            for (SimulatedLoad.Kind kind : ALL) {
                sums.merge(kind.name(), load.tally(kind.name()).valueFraction(), Double::sum);
            }
        }
        for (SimulatedLoad.Kind kind : ALL) {
            assertWithMessage(kind.name()).that(sums.get(kind.name()) / SEEDS).isAtLeast(MIN_VALUE_FRACTION);
        }
    }

    /** Guards against short prompts that are spread over all targets, so that a long one finds none to itself. */
    @Example
    void shortPromptsLeaveEnoughTargetsIdleForALongOne() {
        SimulatedLoad load = new SimulatedLoad(1, ENGINES, ENGINE);
        load.run(List.of(SHORT), List.of(phase(0, 1, 0, 0), phase(30, 0, 0, 0)), 8);

        assertThat(load.idleEngines()).isAtLeast(MAX_TARGETS_OF_A_PROMPT);
    }
}
