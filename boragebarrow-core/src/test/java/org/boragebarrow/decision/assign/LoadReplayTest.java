package org.boragebarrow.decision.assign;

import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.boragebarrow.model.UrgencyRank;

import static com.google.common.truth.Truth.assertThat;

/** Replays the worst loads of a day; the bound is the mean fraction of the value required of the enlarged sites. */
class LoadReplayTest {
    private static final double MIN_VALUE_FRACTION = 0.68;
    private static final int ENGINES = 16;

    private static final SimulatedLoad.Kind SHORT =
            new SimulatedLoad.Kind("short", 19.7, 4_960, 0.9, 23_800, 38, 300, 250, 1.3);
    private static final SimulatedLoad.Kind DIGEST =
            new SimulatedLoad.Kind("digest", 1.1, 45_000, 0.5, 110_000, 23, 1_500, 600, 3.9);
    private static final SimulatedLoad.Kind LEDGER =
            new SimulatedLoad.Kind("ledger", 0.513, 182_000, 0.55, 900_000, 19, 3_000, 1_000, 24);
    private static final List<SimulatedLoad.Kind> ALL = List.of(SHORT, DIGEST, LEDGER);

    private static SimulatedLoad.Phase phase(double from, double shorts, double digests, double ledgers) {
        return new SimulatedLoad.Phase(from, Map.of("short", shorts, "digest", digests, "ledger", ledgers));
    }

    private static final List<SimulatedLoad.Phase> MIX_SHIFT =
            List.of(phase(2, 0.37, 1.3, 2.8), phase(13, 2.4, 0.5, 0.05), phase(23, 0.32, 1.3, 2.7), phase(34, 0, 0, 0));

    @Example
    void allKindsAreServedWhileTheMixShiftsBetweenLongAndShortPrompts() {
        for (long seed = 1; seed <= 4; seed++) {
            SimulatedLoad load = new SimulatedLoad(seed, ENGINES);
            load.run(ALL, MIX_SHIFT, 50);

            assertThat(load.valueFraction()).isAtLeast(MIN_VALUE_FRACTION);
            assertThat(load.tally("short").valueFraction()).isAtLeast(MIN_VALUE_FRACTION);
            assertThat(load.tally("digest").valueFraction()).isAtLeast(MIN_VALUE_FRACTION);
            assertThat(load.tally("ledger").valueFraction()).isAtLeast(MIN_VALUE_FRACTION);
        }
    }

    @Example
    void aBurstOfShortPromptsIsServed() {
        SimulatedLoad load = new SimulatedLoad(7, ENGINES);
        load.run(ALL, List.of(phase(2, 2.5, 0.5, 0.05), phase(12, 1, 1, 1), phase(20, 0, 0, 0)), 36);

        assertThat(load.tally("short").valueFraction()).isAtLeast(MIN_VALUE_FRACTION);
    }

    @Example
    void aBurstOfLongPromptsIsServedInOrderInsteadOfAllLate() {
        SimulatedLoad load = new SimulatedLoad(3, ENGINES);
        load.run(List.of(LEDGER), List.of(phase(1, 1, 1, 3), phase(10, 0, 0, 0)), 26);

        assertThat(load.tally("ledger").valueFraction()).isAtLeast(MIN_VALUE_FRACTION);
    }

    @Example
    void aBurstOfLongPromptsWithAHugeOneStarvesNoPrompt() {
        SimulatedLoad.Kind huge = new SimulatedLoad.Kind("huge", 0.15, 500_000, 0.2, 900_000, 19, 3_000, 1_000, 24);
        for (long seed = 1; seed <= 6; seed++) {
            SimulatedLoad load = new SimulatedLoad(seed, ENGINES);
            load.run(List.of(SHORT, LEDGER, huge), List.of(phase(1, 0.3, 1, 2.7), phase(10, 0, 0, 0)), 30);

            assertThat(load.tally("ledger").abandoned).isEqualTo(0);
            assertThat(load.tally("huge").abandoned).isEqualTo(0);
        }
    }

    @Example
    void theRemainingTargetsServeAfterTheLossOfASixth() {
        SimulatedLoad load = new SimulatedLoad(11, ENGINES);
        List<SimulatedLoad.Phase> steady = List.of(phase(0, 1, 1, 1), phase(30, 0, 0, 0));
        load.run(ALL, steady, 10);
        load.removeTargets(ENGINES / 6);
        load.run(ALL, steady, 36);

        assertThat(load.valueFraction()).isAtLeast(MIN_VALUE_FRACTION);
    }

    @Example
    void hugePromptsAreNeitherRefusedNorAbandoned() {
        SimulatedLoad load = new SimulatedLoad(2, ENGINES);
        SimulatedLoad.Kind huge = new SimulatedLoad.Kind("huge", 0.1, 500_000, 0.2, 900_000, 19, 3_000, 1_000, 24);
        load.run(List.of(SHORT, huge), List.of(phase(0, 1, 1, 1), phase(30, 0, 0, 0)), 50);

        assertThat(load.tally("huge").refused).isEqualTo(0);
        assertThat(load.tally("huge").abandoned).isEqualTo(0);
    }

    /** Load pattern: the longest prompts at 2.5 times their mean beside short ones, with engines for two thirds of it. */
    @Example
    void theUrgentAreServedNoWorseThanOthersWhileTheLongestJump() {
        for (long seed = 1; seed <= 3; seed++) {
            SimulatedLoad load = new SimulatedLoad(seed, 10);
            load.setRanks(Map.of("short", UrgencyRank.of(0), "digest", UrgencyRank.of(1), "ledger", UrgencyRank.of(2)));
            load.run(ALL, List.of(phase(2, 1, 1, 2.5), phase(12, 0, 0, 0)), 30);

            SimulatedLoad.Tally shorts = load.tally("short");
            for (String other : List.of("digest", "ledger")) {
                assertThat(shorts.valueFraction()).isAtLeast(load.tally(other).valueFraction() - 0.15);
                assertThat(unservedFraction(shorts)).isAtMost(unservedFraction(load.tally(other)) + 0.05);
                assertThat(load.tally(other).valueFraction()).isAtLeast(0.2);
            }
        }
    }

    private static double unservedFraction(SimulatedLoad.Tally tally) {
        return (double) (tally.refused + tally.abandoned) / tally.submitted;
    }
}
