package org.boragebarrow.decision.retry;

import java.time.Duration;

import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.Ran;

/** What follows the failure of an attempt. */
public sealed interface RetryDecision {
    /** Tries again after the delay. */
    record Retry(Duration delay) implements RetryDecision {}

    /**
     * Fails the request.
     *
     * @param ran what is known of whether any attempt at the request ran
     */
    record GiveUp(ErrorKind kind, Ran ran) implements RetryDecision {}
}
