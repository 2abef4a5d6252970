package org.boragebarrow.decision.assign;

import java.util.List;
import java.util.Optional;

import org.boragebarrow.decision.fleet.FleetTarget;

/** Chooses among targets that are no engines: the smallest share of slots in use, in the work's zone where that is close. */
final class LeastBusy {
    /** The share of slots that a target of another zone must have less in use. */
    private static final double CROSSING_SHARE = 0.2;

    /** Puts targets that failed lately behind all others. */
    private static final double FAILING_SHARE = 1;

    private LeastBusy() {}

    /** Returns a target with a free slot. */
    static Optional<TargetLoad> choose(Work work, List<TargetLoad> candidates) {
        TargetLoad best = null;
        double least = Double.MAX_VALUE;
        for (TargetLoad load : candidates) {
            FleetTarget target = load.target();
            if (load.owned() >= target.slots()) {
                continue;
            }
            double cost = (double) load.owned() / target.slots();
            cost += target.zone().equals(work.zone()) ? 0 : CROSSING_SHARE;
            cost += load.health().isOut() ? FAILING_SHARE : 0;
            if (cost < least) {
                least = cost;
                best = load;
            }
        }
        return Optional.ofNullable(best);
    }
}
