package org.boragebarrow.node.front;

import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RequestId;

/**
 * A request whose caller is known and whose time limit runs.
 *
 * @param arrivedNanos when it arrived, on the host's monotonic clock
 * @param deadlineNanos its time limit on the same clock
 */
record Admitted(RequestId request, OrganisationId organisation, long arrivedNanos, long deadlineNanos) {
    long remainingNanos(long nowNanos) {
        return Math.max(0, deadlineNanos - nowNanos);
    }
}
