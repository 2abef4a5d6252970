package org.boragebarrow.node.dispatch;

import java.util.concurrent.Executor;

import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.node.front.Grants;

/**
 * An attempt of this host without a grant.
 *
 * <p>Mutable fields are written by one thread at a time.
 */
final class PendingGrant {
    private final GrantRequest request;
    private final Executor executor;
    private final Grants.Listener listener;

    private volatile AvailabilityZoneId zone;
    private volatile boolean acknowledged;

    PendingGrant(GrantRequest request, Executor executor, Grants.Listener listener, AvailabilityZoneId zone) {
        this.request = request;
        this.executor = executor;
        this.listener = listener;
        this.zone = zone;
    }

    GrantRequest request() {
        return request;
    }

    Executor executor() {
        return executor;
    }

    Grants.Listener listener() {
        return listener;
    }

    /** Returns the zone whose dispatcher received the attempt or acknowledged it last. */
    AvailabilityZoneId zone() {
        return zone;
    }

    boolean isAcknowledged() {
        return acknowledged;
    }

    void recordAcknowledgement(AvailabilityZoneId queuingZone) {
        zone = queuingZone;
        acknowledged = true;
    }

    void resetAcknowledged() {
        acknowledged = false;
    }
}
