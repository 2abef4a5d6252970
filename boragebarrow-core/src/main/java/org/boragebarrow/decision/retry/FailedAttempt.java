package org.boragebarrow.decision.retry;

import java.time.Duration;

import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.TargetFailure;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A failed attempt and the state of its request.
 *
 * @param repeatable whether the request may run more than once
 * @param sentBefore whether any byte of an earlier attempt may have been handed to a target
 * @param attempts the number of attempts so far, including this one
 * @param remaining the time until the request's deadline
 */
public record FailedAttempt(
        OrganisationId organisation,
        TargetId target,
        TargetFailure failure,
        boolean repeatable,
        boolean sentBefore,
        int attempts,
        Duration remaining) {
    public FailedAttempt {
        checkNotNull(organisation);
        checkNotNull(target);
        checkNotNull(failure);
        checkArgument(attempts > 0, "attempts must be positive: %s", attempts);
        checkNotNull(remaining);
    }

    /** Returns whether any byte of the request may have been handed to a target. */
    public boolean anythingSent() {
        return sentBefore || failure.sent();
    }
}
