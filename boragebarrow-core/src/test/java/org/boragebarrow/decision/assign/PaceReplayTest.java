package org.boragebarrow.decision.assign;

import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

/** Replays engines whose pace changes. */
class PaceReplayTest {
    private static final int ENGINES = 16;

    private static final SimulatedLoad.Kind SHORT =
            new SimulatedLoad.Kind("short", 19.7, 4_960, 0.9, 23_800, 38, 300, 250, 1.3);
    private static final SimulatedLoad.Kind DIGEST =
            new SimulatedLoad.Kind("digest", 1.1, 45_000, 0.5, 110_000, 23, 1_500, 600, 3.9);
    private static final SimulatedLoad.Kind LEDGER =
            new SimulatedLoad.Kind("ledger", 0.513, 182_000, 0.55, 900_000, 19, 3_000, 1_000, 24);
    private static final List<SimulatedLoad.Kind> ALL = List.of(SHORT, DIGEST, LEDGER);
    private static final List<SimulatedLoad.Phase> STEADY =
            List.of(new SimulatedLoad.Phase(0, Map.of()), new SimulatedLoad.Phase(200, Map.of()));

    private static SimulatedLoad steady(long seed) {
        SimulatedLoad load = new SimulatedLoad(seed, ENGINES);
        load.run(ALL, STEADY, 15);
        return load;
    }

    @Example
    void noTargetCountsAsSlowWhileAllWorkAtTheirOrdinaryPace() {
        for (long seed = 1; seed <= 4; seed++) {
            SimulatedLoad load = steady(seed);
            load.run(ALL, STEADY, 45);

            assertThat(load.slow()).isEqualTo(new SimulatedLoad.Slow(0, 0));
        }
    }

    /** Guards against targets at a fifth of their pace that get as many prompts as any other. */
    @Example
    void aSlowTargetGetsFewerPromptsAndNotNoneAndARecoveredOneItsShareAgain() {
        int ordinary = 0;
        int slow = 0;
        int recovered = 0;
        for (long seed = 1; seed <= 4; seed++) {
            SimulatedLoad load = steady(seed);
            ordinary += assignedToFirst(load, 30);
            SimulatedLoad other = steady(seed);
            other.setSlowness(2, 5);
            slow += assignedToFirst(other, 30);
            other.setSlowness(2, 1);
            other.run(ALL, STEADY, 6);
            recovered += assignedToFirst(other, 24);
        }

        assertThat(slow).isAtLeast(1);
        assertThat((double) slow / ordinary).isLessThan(0.33);
        assertThat((double) recovered / ordinary).isGreaterThan(0.6);
    }

    private static int assignedToFirst(SimulatedLoad load, int seconds) {
        int before = load.assignedToFirst();
        load.run(ALL, STEADY, seconds);
        return load.assignedToFirst() - before;
    }
}
