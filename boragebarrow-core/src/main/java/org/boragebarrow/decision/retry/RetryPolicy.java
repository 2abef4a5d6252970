package org.boragebarrow.decision.retry;

import java.time.Duration;

import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>A request that is not repeatable is retried only if no byte of it can have left the host. A retry also needs
 * remaining time, a remaining attempt and one retry of the {@link RetryBudget}.
 */
public final class RetryPolicy {
    private final RetryBudget budget;
    private final Backoff backoff;
    private final int maxAttempts;
    private final Duration minRemaining;

    /**
     * Creates a policy.
     *
     * @param maxAttempts the most attempts at one request
     * @param minRemaining the time that must remain after the delay for another attempt to be useful
     */
    public RetryPolicy(RetryBudget budget, Backoff backoff, int maxAttempts, Duration minRemaining) {
        checkArgument(maxAttempts > 0, "attempts must be positive: %s", maxAttempts);
        checkArgument(!minRemaining.isNegative(), "negative minimum of the remaining time: %s", minRemaining);
        this.budget = checkNotNull(budget);
        this.backoff = checkNotNull(backoff);
        this.maxAttempts = maxAttempts;
        this.minRemaining = minRemaining;
    }

    /** Decides whether the failed attempt is retried; a retry is charged to the budget. */
    public RetryDecision decide(FailedAttempt failed) {
        if (!failed.repeatable() && failed.anythingSent()) {
            return new RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN, ExecutionStatus.UNKNOWN);
        }
        if (failed.attempts() >= maxAttempts) {
            return giveUp(failed);
        }
        Duration delay = backoff.delay(failed.attempts());
        if (failed.remaining().minus(delay).compareTo(minRemaining) < 0) {
            return giveUp(failed);
        }
        if (!budget.tryRetry(failed.organisation(), failed.target())) {
            return giveUp(failed);
        }
        return new RetryDecision.Retry(delay);
    }

    private static RetryDecision giveUp(FailedAttempt failed) {
        return failed.anythingSent()
                ? new RetryDecision.GiveUp(ErrorKind.TARGET_FAILED, ExecutionStatus.UNKNOWN)
                : new RetryDecision.GiveUp(ErrorKind.NO_TARGET, ExecutionStatus.NO);
    }
}
