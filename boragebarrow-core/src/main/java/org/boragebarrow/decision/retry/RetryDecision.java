package org.boragebarrow.decision.retry;

import java.time.Duration;

import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;

/** The decision after a failed attempt. */
public sealed interface RetryDecision {
    /** Makes another attempt after the delay. */
    record Retry(Duration delay) implements RetryDecision {}

    /**
     * Fails the request.
     *
     * @param executionStatus whether any attempt at the request was executed, as far as known
     */
    record GiveUp(ErrorKind kind, ExecutionStatus executionStatus) implements RetryDecision {}
}
