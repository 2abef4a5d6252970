package org.boragebarrow.decision.pace;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

import static com.google.common.truth.Truth.assertThat;

class DecayedQuantilesTest {
    private final DecayedQuantiles quantiles = new DecayedQuantiles(Duration.ofSeconds(10));

    private static long seconds(long seconds) {
        return TimeUnit.SECONDS.toNanos(seconds);
    }

    @Property(seed = "5", tries = 200)
    void aQuantileIsWithinFivePercentOfTheValueOfThatRank(
            @ForAll @Size(min = 1, max = 50) java.util.List<@DoubleRange(min = 0.1, max = 10_000) Double> values) {
        DecayedQuantiles tested = new DecayedQuantiles(Duration.ofSeconds(10));
        values.forEach(value -> tested.add(value, 0));
        double exact = values.stream().sorted().toList().get((values.size() - 1) / 2);

        assertThat(tested.quantile(0.5).getAsDouble() / exact).isWithin(0.051).of(1);
    }

    @Example
    void recentValuesWeighMore() {
        for (int i = 0; i < 100; i++) {
            quantiles.add(1, 0);
        }
        for (int i = 0; i < 30; i++) {
            quantiles.add(100, seconds(20));
        }

        assertThat(quantiles.quantile(0.5).getAsDouble()).isGreaterThan(90);
        assertThat(quantiles.count(seconds(20))).isWithin(0.01).of(55);
    }

    @Example
    void valuesAreForgottenAfterALongTime() {
        quantiles.add(1, 0);
        quantiles.add(1, seconds(1_000));

        assertThat(quantiles.count(seconds(1_000))).isWithin(0.01).of(1);
        assertThat(new DecayedQuantiles(Duration.ofSeconds(1)).quantile(0.5)).isEqualTo(OptionalDouble.empty());
    }
}
