package org.boragebarrow.decision.retry;

import java.time.Duration;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.Ran;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.truth.Truth.assertThat;

final class RetryTest {
    private static final OrganisationId ORG = OrganisationId.of("org");
    private static final TargetId TARGET = TargetId.of("t");
    private static final Duration LONG = Duration.ofSeconds(30);

    private final RetryBudget budget = RetryBudget.tenth();
    private final Backoff backoff = new Backoff(Duration.ofMillis(25), Duration.ofSeconds(1), new SplittableRandom(7));
    private final RetryPolicy policy = new RetryPolicy(budget, backoff, 3, Duration.ofMillis(100));

    private static FailedAttempt failed(
            TargetFailure failure, boolean repeatable, boolean sentBefore, int attempts, Duration remaining) {
        return new FailedAttempt(ORG, TARGET, failure, repeatable, sentBefore, attempts, remaining);
    }

    @Example
    void aBrokenRepeatableRequestIsTriedAgain() {
        RetryDecision d = policy.decide(failed(TargetFailure.broken("reset"), true, false, 1, LONG));
        assertThat(d).isInstanceOf(RetryDecision.Retry.class);
    }

    @Example
    void aNonRepeatableRequestIsNeverSentAgain() {
        RetryDecision d = policy.decide(failed(TargetFailure.broken("reset"), false, false, 1, LONG));
        assertThat(d).isEqualTo(new RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN));
    }

    @Example
    void aRefusalDoesNotMakeANonRepeatableRequestRepeatable() {
        RetryDecision d = policy.decide(failed(TargetFailure.refused("busy"), false, false, 1, LONG));
        assertThat(d).isEqualTo(new RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN));
    }

    @Example
    void aNonRepeatableRequestThatWasNeverSentIsTriedAgain() {
        RetryDecision d = policy.decide(failed(TargetFailure.notSent("refused"), false, false, 1, LONG));
        assertThat(d).isInstanceOf(RetryDecision.Retry.class);
    }

    @Example
    void anEarlierAttemptThatWasSentForbidsToSayNotRun() {
        RetryDecision d = policy.decide(failed(TargetFailure.notSent("refused"), true, true, 3, LONG));
        assertThat(d).isEqualTo(new RetryDecision.GiveUp(ErrorKind.TARGET_FAILED, Ran.UNKNOWN));
    }

    @Example
    void aRequestOfWhichNothingWasSentIsGivenUpAsNotRun() {
        RetryDecision d = policy.decide(failed(TargetFailure.notSent("refused"), true, false, 3, LONG));
        assertThat(d).isEqualTo(new RetryDecision.GiveUp(ErrorKind.NO_TARGET, Ran.NO));
    }

    @Example
    void noRetryStartsTooCloseToTheTimeLimit() {
        RetryDecision d = policy.decide(failed(TargetFailure.broken("reset"), true, false, 1, Duration.ofMillis(50)));
        assertThat(d).isInstanceOf(RetryDecision.GiveUp.class);
    }

    @Example
    void retriesStayWithinATenthOfTheTraffic() {
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstAttempt(ORG, TARGET);
            if (budget.tryRetry(ORG, TARGET)) {
                retries++;
            }
        }
        assertThat(retries).isAtMost(100 + 10);
        assertThat(retries).isAtLeast(100);
    }

    @Property(seed = "11", tries = 200)
    void aDelayStaysBelowItsExponentialBound(@ForAll @IntRange(min = 1, max = 100) int retry) {
        double bound = Math.min(1e9, 25e6 * Math.pow(2, retry - 1));
        assertThat((double) backoff.delay(retry).toNanos()).isAtMost(bound);
        assertThat(backoff.delay(retry).isNegative()).isFalse();
    }

    @Example
    void aBreakerOpensAfterFailuresInARowAndClosesAfterASuccessfulProbe() {
        CircuitBreaker b = new CircuitBreaker();
        for (int i = 0; i < CircuitBreaker.FAILURE_LIMIT; i++) {
            assertThat(b.allows(0)).isTrue();
            b.onFailure(0);
        }
        assertThat(b.allows(1)).isFalse();
        long later = Duration.ofSeconds(1).toNanos();
        assertThat(b.allows(later)).isTrue();
        b.onSent(later);
        assertThat(b.allows(later)).isFalse();
        b.onSuccess();
        assertThat(b.allows(later)).isTrue();
    }

    @Example
    void aFailedProbeDoublesThePause() {
        CircuitBreaker b = new CircuitBreaker();
        for (int i = 0; i < CircuitBreaker.FAILURE_LIMIT; i++) {
            b.onFailure(0);
        }
        long second = Duration.ofSeconds(1).toNanos();
        b.onSent(second);
        b.onFailure(second);
        assertThat(b.allows(2 * second)).isFalse();
        assertThat(b.allows(3 * second)).isTrue();
    }

    @Example
    void aProbeThatTellsNothingIsRepeated() {
        CircuitBreaker b = new CircuitBreaker();
        for (int i = 0; i < CircuitBreaker.FAILURE_LIMIT; i++) {
            b.onFailure(0);
        }
        long second = Duration.ofSeconds(1).toNanos();
        b.onSent(second);
        b.onInconclusive(second);
        assertThat(b.allows(second)).isTrue();
    }
}
