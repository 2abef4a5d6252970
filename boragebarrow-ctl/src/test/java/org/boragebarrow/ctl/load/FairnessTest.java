package org.boragebarrow.ctl.load;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;

import static com.google.common.truth.Truth.assertThat;

class FairnessTest {
    private static final double TOLERANCE = 1e-6;

    @Example
    void equalValuesHaveTheIndexOne() {
        assertThat(Fairness.jainIndex(List.of(3.0, 3.0, 3.0)))
                .isWithin(TOLERANCE)
                .of(1);
    }

    @Example
    void oneValueOfFourHasTheIndexOfAQuarter() {
        assertThat(Fairness.jainIndex(List.of(8.0, 0.0, 0.0, 0.0)))
                .isWithin(TOLERANCE)
                .of(0.25);
    }

    @Example
    void theRemainderOfSmallDemandsIsSharedByWeight() {
        double[] shares = Fairness.maxMinShares(100, new double[] {10, 500, 500}, new double[] {1, 1, 2});
        assertThat(shares).usingTolerance(TOLERANCE).containsExactly(10, 30, 60).inOrder();
    }

    @Property(seed = "11", tries = 300)
    void sharesAddUpToTheTotalAndExceedNoDemand(
            @ForAll @Size(min = 1, max = 12) List<@DoubleRange(max = 1_000) Double> demanded,
            @ForAll @DoubleRange(max = 5_000) double total) {
        double[] demands = demanded.stream().mapToDouble(Double::doubleValue).toArray();
        double[] weights = Collections.nCopies(demands.length, 1.0).stream()
                .mapToDouble(Double::doubleValue)
                .toArray();
        double[] shares = Fairness.maxMinShares(total, demands, weights);
        for (int i = 0; i < shares.length; i++) {
            assertThat(shares[i]).isAtMost(demands[i] + TOLERANCE);
        }
        double expectedSum = Math.min(total, Arrays.stream(demands).sum());
        assertThat(Arrays.stream(shares).sum()).isWithin(TOLERANCE).of(expectedSum);
    }
}
