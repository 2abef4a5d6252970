package org.boragebarrow.node.front;

import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RequestId;

/**
 * An authenticated request and its deadline.
 *
 * @param arrivalNanos arrival time on the host's monotonic clock
 * @param deadlineNanos end of the time limit on the same clock
 */
record AdmittedRequest(RequestId request, OrganisationId organisation, long arrivalNanos, long deadlineNanos) {
    long remainingNanos(long nowNanos) {
        return Math.max(0, deadlineNanos - nowNanos);
    }
}
