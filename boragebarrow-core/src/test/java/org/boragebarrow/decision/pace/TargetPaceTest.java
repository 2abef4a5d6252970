package org.boragebarrow.decision.pace;

import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class TargetPaceTest {
    private final TargetPace pace = new TargetPace();

    private static long seconds(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }

    private void record(double ratio, double... times) {
        for (double time : times) {
            pace.record(ratio, seconds(time));
        }
    }

    @Example
    void aTargetIsSlowOnceTheMedianOfItsAnswersIs() {
        record(5, 1, 2);
        assertThat(pace.slowness(seconds(2))).isEqualTo(1);
        record(5, 3);

        assertThat(pace.slowness(seconds(3))).isEqualTo(5);
    }

    @Example
    void singleLongAnswersAndOrdinaryDifferencesAreNoEvidence() {
        record(1.9, 1, 2, 3);
        record(50, 4, 5);

        assertThat(pace.slowness(seconds(5))).isEqualTo(1);
    }

    @Example
    void answersThatComeTogetherCountOnce() {
        record(5, 1, 1.1, 1.2, 2, 2.1);

        assertThat(pace.slowness(seconds(2.1))).isEqualTo(1);
    }

    @Example
    void evidenceIsForgottenAndOneLongAnswerRenewsIt() {
        record(5, 1, 2, 3);
        assertThat(pace.slowness(seconds(9.1))).isEqualTo(1);
        record(4, 10);

        assertThat(pace.slowness(seconds(10))).isEqualTo(4);
    }

    @Example
    void ordinaryAnswersEndTheSlowness() {
        record(5, 1, 2, 3);
        record(1, 10);

        assertThat(pace.slowness(seconds(10))).isEqualTo(1);
    }

    @Example
    void aMissingAnswerCountsOnlyOnceItIsClearlyLate() {
        record(1, 1, 2, 3);
        pace.recordMissing(1.5, seconds(3.5));
        pace.recordMissing(9, seconds(4));
        pace.recordMissing(9, seconds(5));
        pace.recordMissing(9, seconds(6));

        assertThat(pace.slowness(seconds(6))).isEqualTo(8);
    }
}
