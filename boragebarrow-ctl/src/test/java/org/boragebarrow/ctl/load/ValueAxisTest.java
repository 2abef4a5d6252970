package org.boragebarrow.ctl.load;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

import static com.google.common.truth.Truth.assertThat;

class ValueAxisTest {
    @Property(seed = "17", tries = 300)
    void allValuesUpToTheMaximumAreOnTheAxis(@ForAll @DoubleRange(max = 1e9) double maximum) {
        assertThat(ValueAxis.linear(maximum).position(maximum)).isAtMost(1.0 + 1e-9);
        assertThat(ValueAxis.logarithmic(maximum).position(maximum)).isAtMost(1.0 + 1e-9);
        assertThat(ValueAxis.logarithmic(maximum).position(0)).isEqualTo(0.0);
    }

    @Example
    void linearTicksAreRound() {
        assertThat(ValueAxis.linear(14_418).ticks())
                .containsExactly(0.0, 5_000.0, 10_000.0, 15_000.0)
                .inOrder();
    }

    @Example
    void logarithmicTicksArePowersOfTen() {
        assertThat(ValueAxis.logarithmic(2_500).ticks())
                .containsExactly(1.0, 10.0, 100.0, 1_000.0, 10_000.0)
                .inOrder();
    }
}
