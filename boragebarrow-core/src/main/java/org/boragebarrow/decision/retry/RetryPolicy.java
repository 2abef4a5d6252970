package org.boragebarrow.decision.retry;

import java.time.Duration;

import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.Ran;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Decides whether a failed attempt is followed by another.
 *
 * <p>A request that may not be repeated is tried again only while nothing of it can have left the host. Retries need
 * time, an attempt and a part of the {@link RetryBudget}.
 */
public final class RetryPolicy {
    private final RetryBudget budget;
    private final Backoff backoff;
    private final int maxAttempts;
    private final Duration leastRemaining;

    /**
     * Creates a policy.
     *
     * @param maxAttempts the most attempts at one request
     * @param leastRemaining the time that must be left after the delay for another attempt to be of use
     */
    public RetryPolicy(RetryBudget budget, Backoff backoff, int maxAttempts, Duration leastRemaining) {
        checkArgument(maxAttempts > 0, "attempts must be positive: %s", maxAttempts);
        checkArgument(!leastRemaining.isNegative(), "negative time: %s", leastRemaining);
        this.budget = checkNotNull(budget);
        this.backoff = checkNotNull(backoff);
        this.maxAttempts = maxAttempts;
        this.leastRemaining = leastRemaining;
    }

    /** Decides what follows the failure, and pays for the retry if there is one. */
    public RetryDecision decide(FailedAttempt failed) {
        if (!failed.repeatable() && failed.anythingSent()) {
            return new RetryDecision.GiveUp(ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN);
        }
        if (failed.attempts() >= maxAttempts) {
            return giveUp(failed);
        }
        Duration delay = backoff.delay(failed.attempts());
        if (failed.remaining().minus(delay).compareTo(leastRemaining) < 0) {
            return giveUp(failed);
        }
        if (!budget.tryRetry(failed.organisation(), failed.target())) {
            return giveUp(failed);
        }
        return new RetryDecision.Retry(delay);
    }

    private static RetryDecision giveUp(FailedAttempt failed) {
        return failed.anythingSent()
                ? new RetryDecision.GiveUp(ErrorKind.TARGET_FAILED, Ran.UNKNOWN)
                : new RetryDecision.GiveUp(ErrorKind.NO_TARGET, Ran.NO);
    }
}
