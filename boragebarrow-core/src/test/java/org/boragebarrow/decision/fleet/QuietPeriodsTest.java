package org.boragebarrow.decision.fleet;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

class QuietPeriodsTest {
    private static final TargetIncarnation TARGET = new TargetIncarnation(TargetId.of("a"), 1);

    private final QuietPeriods quiet = new QuietPeriods();

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private boolean request(long forMillis, long atMillis) {
        return quiet.request(TARGET, Duration.ofMillis(forMillis), millis(atMillis));
    }

    @Example
    void aTargetIsQuietForTheTimeThatItAskedFor() {
        assertThat(quiet.isQuiet(TARGET, 0)).isFalse();
        assertThat(request(2_000, 0)).isTrue();
        assertThat(quiet.isQuiet(TARGET, millis(1_999))).isTrue();
        assertThat(quiet.isQuiet(TARGET, millis(2_000))).isFalse();
    }

    @Example
    void aLongerAnswerExtendsTheTimeAndAShorterOneDoesNotCutIt() {
        request(2_000, 0);
        assertThat(request(500, 100)).isFalse();
        assertThat(quiet.isQuiet(TARGET, millis(1_900))).isTrue();
        assertThat(request(2_000, 1_000)).isTrue();
        assertThat(quiet.remaining(TARGET, millis(1_000))).isEqualTo(Duration.ofSeconds(2));
    }

    @Example
    void theNextIncarnationIsNotConcerned() {
        request(2_000, 0);

        assertThat(quiet.isQuiet(new TargetIncarnation(TARGET.id(), 2), 0)).isFalse();
    }

    @Example
    void workInProgressMaySendTwoRequests() {
        request(2_000, 0);
        assertThat(quiet.tryAcquire(TARGET, millis(1))).isTrue();
        assertThat(quiet.tryAcquire(TARGET, millis(2))).isTrue();
        request(5_000, 10);
        assertThat(quiet.tryAcquire(TARGET, millis(11))).isFalse();
        assertThat(quiet.tryAcquire(TARGET, millis(5_010))).isTrue();
    }

    @Example
    void anEnormousTimeIsLimited() {
        quiet.request(TARGET, Duration.ofDays(3_650), 0);

        assertThat(quiet.remaining(TARGET, 0)).isEqualTo(QuietPeriods.MAX_TIME);
    }

    @Example
    void aTimeOfZeroChangesNothing() {
        assertThat(request(0, 0)).isFalse();
        assertThat(quiet.current(0)).isEmpty();
    }

    @Example
    void endlessTargetsAreBounded() {
        for (int i = 0; i < 3 * QuietPeriods.MAX_TARGETS; i++) {
            quiet.request(new TargetIncarnation(TargetId.of("t" + i), 1), Duration.ofMinutes(1), 0);
        }
        assertThat(quiet.current(0)).hasSize(QuietPeriods.MAX_TARGETS);
        assertThat(quiet.current(Duration.ofMinutes(2).toNanos())).isEmpty();
    }

    /** An answer that asks for quiet, or a request that work in progress wants to send, after some time. */
    private record Step(int incarnation, boolean answer, int forMillis, int afterMillis) {
        static Step of(int number) {
            return new Step(number % 2, number / 2 % 2 == 0, number / 4 % 50 * 40, number / 200 % 50 * 20);
        }
    }

    /** Guards against more requests to a quiet target than it bears, in any order of answers, requests and time. */
    @Property(tries = 2_000)
    void aQuietTargetGetsAtMostTwoRequestsUntilItsLongestTimeEnds(
            @ForAll @Size(max = 60) List<@IntRange(max = 9_999) Integer> numbers) {
        QuietPeriods replayed = new QuietPeriods();
        long[] until = new long[2];
        int[] sent = new int[2];
        long now = 0;
        for (int number : numbers) {
            Step step = Step.of(number);
            now += millis(step.afterMillis());
            int i = step.incarnation();
            TargetIncarnation target = new TargetIncarnation(TargetId.of("a"), i);
            boolean quietBefore = now < until[i];
            if (step.answer()) {
                replayed.request(target, Duration.ofMillis(step.forMillis()), now);
                sent[i] = quietBefore ? sent[i] : 0;
                until[i] = Math.max(until[i], now + millis(step.forMillis()));
            } else if (replayed.tryAcquire(target, now) && quietBefore) {
                sent[i]++;
            }
            assertThat(sent[i]).isAtMost(2);
            assertThat(replayed.isQuiet(target, now)).isEqualTo(now < until[i]);
        }
    }
}
