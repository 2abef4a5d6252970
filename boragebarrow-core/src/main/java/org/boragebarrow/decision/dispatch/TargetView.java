package org.boragebarrow.decision.dispatch;

import org.boragebarrow.decision.retry.CircuitBreaker;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/** The dispatcher's view of a target. */
abstract sealed class TargetView permits EngineView, ServiceView {
    final TargetId id;
    final CircuitBreaker breaker = new CircuitBreaker();
    private AvailabilityZoneId zone;
    private boolean leaving;
    private boolean started = true;
    private boolean reachable = true;

    TargetView(TargetId id) {
        this.id = checkNotNull(id);
    }

    void setTarget(Target target) {
        zone = target.zone();
        leaving = target.leaving();
    }

    /** Applies the target's switch and its zone; called after {@link #setTarget}. */
    void configure(Configuration configuration) {
        started = configuration.accepts(id, zone);
    }

    void setReachable(boolean reachable) {
        this.reachable = reachable;
    }

    /** Returns whether the target may receive new work, regardless of its load. */
    boolean isAvailable(long nowNanos) {
        return !leaving && started && reachable && breaker.allows(nowNanos);
    }

    /** Updates the circuit breaker with the outcome of a request. */
    void onOutcome(DispatchEvent.Outcome outcome, long nowNanos) {
        if (outcome == DispatchEvent.Outcome.COMPLETED) {
            breaker.onSuccess();
        } else if (outcome == DispatchEvent.Outcome.FAILED) {
            breaker.onFailure(nowNanos);
        } else {
            breaker.onInconclusive(nowNanos);
        }
    }

    abstract void add(Grant grant, long nowNanos);

    abstract void remove(Grant grant, long nowNanos);
}
