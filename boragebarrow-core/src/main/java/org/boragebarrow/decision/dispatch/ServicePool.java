package org.boragebarrow.decision.dispatch;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

/** The targets that offer one plain service and the queue of calls for them. */
final class ServicePool {
    final ServiceName service;
    final FairQueue queue;
    private final int maxCalls;
    private ImmutableList<ServiceView> targets = ImmutableList.of();
    private int roundRobinIndex;

    ServicePool(ServiceName service, DispatchSettings settings) {
        this.service = service;
        this.queue = new FairQueue(settings.order().maxOvertakes());
        this.maxCalls = settings.bounds().maxServiceCalls();
    }

    ImmutableList<ServiceView> targets() {
        return targets;
    }

    void setTargets(ImmutableList<ServiceView> targets) {
        this.targets = targets;
    }

    /** Returns the available target with the fewest calls in flight; ties are broken by round robin. */
    Optional<ServiceView> choose(ImmutableSet<TargetId> excluded, long nowNanos) {
        roundRobinIndex = roundRobinIndex == Integer.MAX_VALUE ? 0 : roundRobinIndex + 1;
        Optional<ServiceView> best = Optional.empty();
        int minInFlight = maxCalls;
        for (int i = 0; i < targets.size(); i++) {
            ServiceView t = targets.get((roundRobinIndex + i) % targets.size());
            if (t.inFlight() < minInFlight && t.isAvailable(nowNanos) && !excluded.contains(t.id)) {
                best = Optional.of(t);
                minInFlight = t.inFlight();
            }
        }
        return best;
    }

    /** Returns whether some target is not excluded, regardless of its load and availability. */
    boolean hasTargetFor(ImmutableSet<TargetId> excluded) {
        for (ServiceView t : targets) {
            if (!excluded.contains(t.id)) {
                return true;
            }
        }
        return false;
    }
}
