package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A front's question where and when one attempt may run.
 *
 * @param deadlineNanos the request's time limit on the dispatcher's monotonic clock
 * @param excluded targets that already failed this request
 * @param spilled whether another availability zone has passed the request on; it is not passed on again
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
