package org.boragebarrow.decision.assign;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

/**
 * Replays loads in which callers compete for too few targets. Three targets with two slots and answers of 60 ms serve 100
 * calls per second.
 */
class CompetingCallsReplayTest {
    private static final long SEED = 5;
    private static final int OBJECTIVE = 300;
    private static final int LIMIT = 2_400;

    private final SimulatedCalls calls = new SimulatedCalls(SEED, 3, 2, 60);

    private static SimulatedCalls.Kind kind(String name, int rank, double rate) {
        return new SimulatedCalls.Kind(name, name, rank, rate, OBJECTIVE, LIMIT, false);
    }

    /** Load pattern: a kind at 2.7 times its mean for 10 s, while another falls to a third. */
    @Example
    void theUrgentAreServedThroughAJumpOfTheLessUrgentAndBothAreServed() {
        calls.arrive(kind("urgent", 0, 50), 10);
        calls.arrive(kind("patient", 2, 135), 10);
        calls.run(14);

        assertThat(calls.tally("urgent").onTimeFraction()).isAtLeast(0.95);
        assertThat(calls.tally("patient").servedFraction()).isAtLeast(0.3);
    }

    /** Load pattern: the urgent alone exceed what the targets serve. */
    @Example
    void theLessUrgentAreNotStarvedByTheUrgent() {
        calls.arrive(kind("urgent", 0, 150), 10);
        calls.arrive(kind("patient", 2, 20), 10);
        calls.run(14);

        assertThat(calls.tally("urgent").servedFraction())
                .isAtLeast(calls.tally("patient").servedFraction() - 0.05);
        assertThat(calls.tally("patient").servedFraction()).isAtLeast(0.2);
    }

    /** Load pattern: one of three targets gone at a crest of 1.55 times the mean of all zones. */
    @Example
    void callsAreOnTimeOrRefusedWhenATargetIsGoneAtTheCrest() {
        calls.arrive(kind("calls", 5, 70), 12);
        calls.run(2);
        calls.removeTarget();
        calls.arrive(kind("crest", 5, 40), 5);
        calls.run(14);

        SimulatedCalls.Tally crest = calls.tally("crest");
        assertThat(crest.onTimeFraction() + calls.tally("calls").onTimeFraction())
                .isAtLeast(1.1);
        assertThat(crest.expired + calls.tally("calls").expired).isEqualTo(0);
    }

    /** Load pattern: 28 in 100 requests on one session, and three in ten callers repeat at once. */
    @Example
    void anOrganisationThatJumpsAndRepeatsAtOncePaysForItself() {
        for (int i = 0; i < 9; i++) {
            calls.arrive(kind("calm-" + i, 5, 6), 10);
        }
        calls.arrive(new SimulatedCalls.Kind("jump", "jump", 5, 120, OBJECTIVE, LIMIT, true), 10);
        calls.run(14);

        for (int i = 0; i < 9; i++) {
            assertThat(calls.tally("calm-" + i).onTimeFraction()).isAtLeast(0.9);
        }
        assertThat(calls.tally("jump").servedFraction()).isAtLeast(0.2);
    }

    /** Load pattern: many callers are refused in one moment. */
    @Example
    void refusedCallersReturnAtThePaceAtWhichTargetsComeFree() {
        calls.arrive(kind("before", 5, 60), 2);
        calls.run(1);
        calls.arrive(kind("crowd", 5, 4_000), 0.1);
        calls.run(8);

        assertThat(calls.mostReturnsWithin(100)).isAtMost(60);
        assertThat(calls.tally("crowd").servedFraction()).isAtLeast(0.2);
    }
}
