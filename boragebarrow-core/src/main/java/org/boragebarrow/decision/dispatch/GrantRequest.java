package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A front's request for permission to run one attempt.
 *
 * @param deadlineNanos the request's deadline on the dispatcher's monotonic clock
 * @param excluded the targets that have already failed this request
 * @param spilled whether another availability zone has spilled the request to this one; it is not spilled again
 */
public record GrantRequest(
        AttemptId attempt,
        OrganisationId organisation,
        Work work,
        long deadlineNanos,
        ImmutableSet<TargetId> excluded,
        boolean spilled) {
    public GrantRequest {
        checkNotNull(attempt);
        checkNotNull(organisation);
        checkNotNull(work);
        checkNotNull(excluded);
    }
}
