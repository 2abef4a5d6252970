package org.boragebarrow.node.front;

import net.jqwik.api.Example;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.truth.Truth.assertThat;

class TokenEstimatorTest {
    private static final OrganisationId ORGANISATION = OrganisationId.of("workshop");
    private static final ModelId MODEL = ModelId.of("model");

    private final TokenEstimator estimator = new TokenEstimator();

    @Example
    void anUnknownOrganisationGetsTheDefaultRatioRoundedUp() {
        assertThat(estimator.estimate(ORGANISATION, MODEL, 401)).isEqualTo(101);
    }

    @Example
    void theRatioConvergesToTheObservedOne() {
        for (int request = 0; request < 100; request++) {
            estimator.update(ORGANISATION, MODEL, 2_000, 1_000);
        }
        assertThat(estimator.estimate(ORGANISATION, MODEL, 1_000))
                .isIn(com.google.common.collect.Range.closed(499, 501));
    }

    @Example
    void oneOutlierChangesTheRatioOnlySlightly() {
        estimator.update(ORGANISATION, MODEL, 1_000_000, 1);
        assertThat(estimator.estimate(ORGANISATION, MODEL, 5_200)).isEqualTo(1_000);
    }

    @Example
    void eachModelHasItsOwnRatio() {
        estimator.update(ORGANISATION, ModelId.of("other"), 100, 100);
        assertThat(estimator.estimate(ORGANISATION, MODEL, 400)).isEqualTo(100);
    }

    @Example
    void anEmptyRequestDoesNotChangeTheRatio() {
        estimator.update(ORGANISATION, MODEL, 0, 5);
        estimator.update(ORGANISATION, MODEL, 5, 0);
        assertThat(estimator.estimate(ORGANISATION, MODEL, 400)).isEqualTo(100);
    }
}
