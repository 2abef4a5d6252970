package org.boragebarrow.decision.assign;

import java.util.List;
import java.util.Optional;

import org.boragebarrow.decision.fleet.FleetTarget;

/**
 * Selects the target with the lowest fraction of slots in use, preferring the work's zone; for targets that are not
 * engines.
 */
final class LeastLoadedSelector {
    /** Difference in the fraction of slots in use that justifies selecting a target of another zone. */
    private static final double CROSS_ZONE_PENALTY = 0.2;

    /** Penalty that ranks ejected targets after all others. */
    private static final double EJECTED_PENALTY = 1;

    private LeastLoadedSelector() {}

    /** Returns the requests at the target; at a slow one, those that an ordinary one would answer in the same time. */
    private static double load(TargetLoad load) {
        return load.slowness() * (load.ownedCount() + 1) - 1;
    }

    /** Returns a target with a free slot. */
    static Optional<TargetLoad> choose(Work work, List<TargetLoad> candidates) {
        TargetLoad best = null;
        double least = Double.MAX_VALUE;
        for (TargetLoad load : candidates) {
            FleetTarget target = load.target();
            if (load.ownedCount() >= target.slots()) {
                continue;
            }
            double cost = load(load) / target.slots();
            cost += target.zone().equals(work.zone()) ? 0 : CROSS_ZONE_PENALTY;
            cost += load.health().isEjected() ? EJECTED_PENALTY : 0;
            if (cost < least) {
                least = cost;
                best = load;
            }
        }
        return Optional.ofNullable(best);
    }
}
