package org.boragebarrow.node.front;

import java.time.Duration;
import java.util.random.RandomGenerator;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import org.boragebarrow.decision.retry.Backoff;
import org.boragebarrow.decision.retry.FailedAttempt;
import org.boragebarrow.decision.retry.RetryBudget;
import org.boragebarrow.decision.retry.RetryDecision;
import org.boragebarrow.decision.retry.RetryPolicy;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;

/** The retry policy and budget that all requests of a host share. Thread-safe. */
final class SharedRetryPolicy {
    private static final int MAX_ATTEMPTS = 4;
    private static final Duration INITIAL_DELAY = Duration.ofMillis(20);
    private static final Duration MAX_DELAY = Duration.ofMillis(500);
    private static final Duration MIN_REMAINING = Duration.ofMillis(50);

    @GuardedBy("this") private final RetryBudget budget = RetryBudget.tenPercent();

    @GuardedBy("this") private final RetryPolicy policy;

    SharedRetryPolicy(RandomGenerator random) {
        Backoff backoff = new Backoff(INITIAL_DELAY, MAX_DELAY, random);
        this.policy = new RetryPolicy(budget, backoff, MAX_ATTEMPTS, MIN_REMAINING);
    }

    /** Records a first attempt; the retry budget is a fraction of the first attempts. */
    synchronized void onFirstAttempt(OrganisationId organisation, TargetId target) {
        budget.onFirstAttempt(organisation, target);
    }

    /** Decides whether a failed attempt is retried. */
    synchronized RetryDecision decide(FailedAttempt failed) {
        return policy.decide(failed);
    }
}
