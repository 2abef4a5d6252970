package org.boragebarrow.decision.dispatch;

import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkState;

/** The dispatcher's view of a plain service target. */
final class ServiceView extends TargetView {
    private int inFlight;

    ServiceView(TargetId id) {
        super(id);
    }

    int inFlight() {
        return inFlight;
    }

    @Override
    void add(Grant grant, long nowNanos) {
        inFlight++;
    }

    @Override
    void remove(Grant grant, long nowNanos) {
        checkState(inFlight > 0, "%s has no call in flight", id);
        inFlight--;
    }
}
