package org.boragebarrow.decision.observe;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;

/**
 * Aggregates the statuses that the observers of each target report.
 *
 * <p>A target is reachable if at least one observer can reach it. It is accepting unless an observer reports otherwise.
 */
final class StatusAggregator {
    private final Map<HostId, ImmutableMap<TargetId, TargetStatus>> statusesByObserver = new HashMap<>();
    private final Map<TargetId, TargetStatus> aggregated = new HashMap<>();

    void update(HostId observer, ImmutableMap<TargetId, TargetStatus> statuses) {
        statusesByObserver.put(observer, statuses);
    }

    void retain(ImmutableMap<TargetId, ?> targets, Set<HostId> hosts) {
        statusesByObserver.keySet().retainAll(hosts);
        aggregated.keySet().retainAll(targets.keySet());
    }

    /**
     * Returns the aggregated status of a target.
     *
     * <p>A reachable target stays reachable until all observers have reported it as unreachable. As long as no observer
     * has reported, the previous status is kept.
     */
    TargetStatus aggregate(TargetId target, ImmutableList<HostId> observers) {
        TargetStatus previous = aggregated.getOrDefault(target, TargetStatus.AVAILABLE);
        int reports = 0;
        boolean reachable = false;
        boolean accepting = true;
        for (HostId observer : observers) {
            TargetStatus status =
                    statusesByObserver.getOrDefault(observer, ImmutableMap.of()).get(target);
            if (status == null) {
                continue;
            }
            reports++;
            reachable |= status.reachable();
            accepting &= status.accepting();
        }
        boolean complete = reports == observers.size() && reports > 0;
        boolean canReach = reachable || (!complete && previous.reachable());
        boolean accepts = accepting && (reports > 0 || previous.accepting());
        TargetStatus current = new TargetStatus(canReach, accepts);
        aggregated.put(target, current);
        return current;
    }
}
