package org.boragebarrow.standins.platform;

import java.time.Duration;

import net.jqwik.api.Example;

import static com.google.common.truth.Truth.assertThat;

class WeightBudgetTest {
    private static final long MINUTE = Duration.ofMinutes(1).toNanos();

    private final WeightBudget budget = new WeightBudget(2);

    @Example
    void noMoreLoadsThanTheLimitFitInAMinute() {
        assertThat(budget.tryLoad(0)).isTrue();
        assertThat(budget.tryLoad(1)).isTrue();
        assertThat(budget.tryLoad(MINUTE - 1)).isFalse();
    }

    @Example
    void aLoadIsAllowedAgainOnceTheFirstIsAMinuteOld() {
        budget.tryLoad(0);
        budget.tryLoad(1);
        assertThat(budget.remaining(MINUTE)).isEqualTo(1);
        assertThat(budget.tryLoad(MINUTE)).isTrue();
        assertThat(budget.tryLoad(MINUTE)).isFalse();
    }
}
