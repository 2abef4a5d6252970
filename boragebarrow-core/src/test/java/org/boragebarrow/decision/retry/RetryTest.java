package org.boragebarrow.decision.retry;

import java.time.Duration;
import java.util.SplittableRandom;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.truth.Truth.assertThat;

final class RetryTest {
    private static final OrganisationId ORG = OrganisationId.of("org");
    private static final TargetId TARGET = TargetId.of("t");
    private static final Duration LONG = Duration.ofSeconds(30);

    private final RetryBudget budget = RetryBudget.tenPercent();
    private final Backoff backoff = new Backoff(Duration.ofMillis(25), Duration.ofSeconds(1), new SplittableRandom(7));
    private final RetryPolicy policy = new RetryPolicy(budget, backoff, 3, Duration.ofMillis(100));

    private static FailedAttempt failed(
            TargetFailure failure, boolean repeatable, boolean sentBefore, int attempts, Duration remaining) {
        return new FailedAttempt(ORG, TARGET, failure, repeatable, sentBefore, attempts, remaining);
    }

    @Example
    void aBrokenRepeatableRequestIsRetried() {
        RetryDecision decision = policy.decide(failed(TargetFailure.broken("reset"), true, false, 1, LONG));
        assertThat(decision).isInstanceOf(RetryDecision.Retry.class);
    }

    @Example
    void aNonRepeatableRequestIsNeverSentAgain() {
        RetryDecision decision = policy.decide(failed(TargetFailure.broken("reset"), false, false, 1, LONG));
        assertThat(decision).isEqualTo(new RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN));
    }

    @Example
    void aRefusalDoesNotMakeANonRepeatableRequestRepeatable() {
        RetryDecision decision = policy.decide(failed(TargetFailure.refused("busy"), false, false, 1, LONG));
        assertThat(decision).isEqualTo(new RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN));
    }

    @Example
    void aNonRepeatableRequestThatWasNeverSentIsRetried() {
        RetryDecision decision = policy.decide(failed(TargetFailure.notSent("refused"), false, false, 1, LONG));
        assertThat(decision).isInstanceOf(RetryDecision.Retry.class);
    }

    @Example
    void aRequestWithAnEarlierSentAttemptIsNotReportedAsNotRun() {
        RetryDecision decision = policy.decide(failed(TargetFailure.notSent("refused"), true, true, 3, LONG));
        assertThat(decision).isEqualTo(new RetryDecision.GiveUp(ErrorKind.TARGET_FAILED, ExecutionStatus.UNKNOWN));
    }

    @Example
    void aRequestThatWasNeverSentIsReportedAsNotRun() {
        RetryDecision decision = policy.decide(failed(TargetFailure.notSent("refused"), true, false, 3, LONG));
        assertThat(decision).isEqualTo(new RetryDecision.GiveUp(ErrorKind.NO_TARGET, ExecutionStatus.NO));
    }

    @Example
    void noRetryStartsTooCloseToTheTimeLimit() {
        RetryDecision decision =
                policy.decide(failed(TargetFailure.broken("reset"), true, false, 1, Duration.ofMillis(50)));
        assertThat(decision).isInstanceOf(RetryDecision.GiveUp.class);
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
    void aBreakerOpensAfterConsecutiveFailuresAndClosesAfterASuccessfulProbe() {
        CircuitBreaker breaker = new CircuitBreaker();
        for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
            assertThat(breaker.allows(0)).isTrue();
            breaker.onFailure(0);
        }
        assertThat(breaker.allows(1)).isFalse();
        long probeTime = Duration.ofSeconds(1).toNanos();
        assertThat(breaker.allows(probeTime)).isTrue();
        breaker.onSent(probeTime);
        assertThat(breaker.allows(probeTime)).isFalse();
        breaker.onSuccess();
        assertThat(breaker.allows(probeTime)).isTrue();
    }

    @Example
    void aFailedProbeDoublesTheDelay() {
        CircuitBreaker breaker = new CircuitBreaker();
        for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
            breaker.onFailure(0);
        }
        long second = Duration.ofSeconds(1).toNanos();
        breaker.onSent(second);
        breaker.onFailure(second);
        assertThat(breaker.allows(2 * second)).isFalse();
        assertThat(breaker.allows(3 * second)).isTrue();
    }

    @Example
    void anInconclusiveProbeIsRepeated() {
        CircuitBreaker breaker = new CircuitBreaker();
        for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
            breaker.onFailure(0);
        }
        long second = Duration.ofSeconds(1).toNanos();
        breaker.onSent(second);
        breaker.onInconclusive(second);
        assertThat(breaker.allows(second)).isTrue();
    }
}
