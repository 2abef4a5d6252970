package org.boragebarrow.decision.observe;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;

/** Joins what the observers of each target say; one that can reach it is enough for reachable. */
final class JointVerdicts {
    private final Map<HostId, ImmutableMap<TargetId, Verdict>> told = new HashMap<>();
    private final Map<TargetId, Verdict> joint = new HashMap<>();

    void tell(HostId observer, ImmutableMap<TargetId, Verdict> verdicts) {
        told.put(observer, verdicts);
    }

    void retain(ImmutableMap<TargetId, ?> targets, Set<HostId> hosts) {
        told.keySet().retainAll(hosts);
        joint.keySet().retainAll(targets.keySet());
    }

    /** Returns the joint verdict, and keeps the earlier one where the observers have not all spoken. */
    Verdict join(TargetId target, ImmutableList<HostId> observers) {
        Verdict before = joint.getOrDefault(target, Verdict.GOOD);
        int spoken = 0;
        boolean reachable = false;
        boolean accepting = true;
        for (HostId observer : observers) {
            Verdict verdict = told.getOrDefault(observer, ImmutableMap.of()).get(target);
            if (verdict == null) {
                continue;
            }
            spoken++;
            reachable |= verdict.reachable();
            accepting &= verdict.accepting();
        }
        boolean complete = spoken == observers.size() && spoken > 0;
        boolean canReach = reachable || (!complete && before.reachable());
        boolean accepts = accepting && (spoken > 0 || before.accepting());
        Verdict now = new Verdict(canReach, accepts);
        joint.put(target, now);
        return now;
    }
}
