package org.boragebarrow.decision.allowance;

import java.util.HashMap;
import java.util.Map;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Splits each organisation's allowance over the availability zones by their demand.
 *
 * <p>Not thread-safe. Every zone keeps a floor, so that new demand is served before the split follows it. A share falls
 * at once and rises in steps of {@link #MAX_STEP} an update, because the zones learn of each other's demand at
 * different moments: the sum over zones exceeds the allowance by at most that step for each zone. While any zone is not
 * heard the share stays as it was; this holds the bound as long as zones either hear each other or not, both ways.
 */
public final class ZoneShares {
    /** The most that a share rises in one update, as a part of the whole allowance. */
    public static final double MAX_STEP = 0.02;

    private final AvailabilityZoneId zone;
    private final double floor;
    private ImmutableMap<AvailabilityZoneId, ZoneDemand> others = ImmutableMap.of();
    private final Map<OrganisationId, Split> splits = new HashMap<>();
    private long update;

    /**
     * Creates shares for a zone that knows of no other.
     *
     * @param floor the part of an equal share that a zone without demand keeps
     */
    public ZoneShares(AvailabilityZoneId zone, double floor) {
        checkArgument(floor >= 0 && floor <= 1, "floor must be between 0 and 1: %s", floor);
        this.zone = checkNotNull(zone);
        this.floor = floor;
    }

    /** Replaces what is known of the other zones; this zone's own entry is ignored. */
    public void update(Map<AvailabilityZoneId, ZoneDemand> zones) {
        ImmutableMap.Builder<AvailabilityZoneId, ZoneDemand> rest = ImmutableMap.builder();
        for (Map.Entry<AvailabilityZoneId, ZoneDemand> e : zones.entrySet()) {
            if (!e.getKey().equals(zone)) {
                rest.put(e);
            }
        }
        others = rest.buildOrThrow();
        update++;
    }

    /** Returns this zone's part of the organisation's allowance, given this zone's own demand in tokens a minute. */
    public double share(OrganisationId organisation, double ownDemand) {
        if (others.isEmpty()) {
            return 1;
        }
        Split split = splits.computeIfAbsent(organisation, o -> new Split());
        if (split.update != update) {
            split.update = update;
            resplit(split, organisation, ownDemand);
        }
        return split.own;
    }

    private void resplit(Split split, OrganisationId organisation, double ownDemand) {
        int zones = others.size() + 1;
        double equal = 1.0 / zones;
        double sum = ownDemand;
        for (ZoneDemand z : others.values()) {
            if (!z.heard()) {
                split.own = split.own < 0 ? equal : split.own;
                return;
            }
            sum += demand(z, organisation);
        }
        double kept = floor * equal;
        double wanted = kept + (1 - zones * kept) * part(ownDemand, sum, zones);
        // Equal at first: a zone that has just started cannot know how the others have split the allowance.
        double before = split.own < 0 ? Math.min(equal, wanted) : split.own;
        split.own = Math.min(wanted, before + MAX_STEP);
    }

    private static double part(double demand, double sum, int zones) {
        return sum <= 0 ? 1.0 / zones : demand / sum;
    }

    private static long demand(ZoneDemand zone, OrganisationId organisation) {
        Long perMinute = zone.tokensPerMinute().get(organisation);
        return perMinute == null ? 0 : Math.max(0, perMinute);
    }

    private static final class Split {
        private double own = -1;
        private long update = -1;
    }
}
