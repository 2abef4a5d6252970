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
final class JointVerdicts {
    private final Map<HostId, ImmutableMap<TargetId, Verdict>> told = new HashMap<>();
    private final Map<TargetId, Verdict> joint = new HashMap<>();

    void tell(HostId observer, ImmutableMap<TargetId, Verdict> statuses) {
        told.put(observer, statuses);
    }

    void retain(ImmutableMap<TargetId, ?> targets, Set<HostId> hosts) {
        told.keySet().retainAll(hosts);
        joint.keySet().retainAll(targets.keySet());
    }

    /**
     * Returns the aggregated status of a target.
     *
     * <p>A reachable target stays reachable until all observers have reported it as unreachable. As long as no observer
     * has reported, the previous status is kept.
     */
    Verdict join(TargetId target, ImmutableList<HostId> observers) {
        Verdict before = joint.getOrDefault(target, Verdict.GOOD);
        int reports = 0;
        boolean reachable = false;
        boolean accepting = true;
        for (HostId observer : observers) {
            Verdict status = told.getOrDefault(observer, ImmutableMap.of()).get(target);
            if (status == null) {
                continue;
            }
            reports++;
            reachable |= status.reachable();
            accepting &= status.accepting();
        }
        boolean complete = reports == observers.size() && reports > 0;
        boolean canReach = reachable || (!complete && before.reachable());
        boolean accepts = accepting && (reports > 0 || before.accepting());
        Verdict now = new Verdict(canReach, accepts);
        joint.put(target, now);
        return now;
    }
}
