package org.boragebarrow.decision.allowance;

import java.util.HashMap;
import java.util.Map;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Divides each organisation's allowance among the availability zones in proportion to their demand.
 *
 * <p>Not thread-safe. Each zone keeps a minimum share, so that new demand is served before the shares follow it. A
 * share falls at once and rises by at most {@link #MAX_STEP} per update, because the zones receive each other's demand
 * at different times: the sum over all zones exceeds the allowance by at most that step for each zone. While any zone
 * is unresponsive, the share does not change; this preserves the bound only if two zones that lose contact lose it in
 * both directions.
 */
public final class ZoneShares {
    /** The largest increase of a share in one update, as a fraction of the organisation's allowance. */
    public static final double MAX_STEP = 0.02;

    private final AvailabilityZoneId zone;
    private final double floor;
    private ImmutableMap<AvailabilityZoneId, ZoneDemand> otherZones = ImmutableMap.of();
    private final Map<OrganisationId, ShareState> shareStates = new HashMap<>();
    private long update;

    /**
     * Creates the shares of a zone without other zones.
     *
     * @param floor the minimum share of a zone without demand, as a fraction of an equal share
     */
    public ZoneShares(AvailabilityZoneId zone, double floor) {
        checkArgument(floor >= 0 && floor <= 1, "floor must be between 0 and 1: %s", floor);
        this.zone = checkNotNull(zone);
        this.floor = floor;
    }

    /** Replaces the demand of the other zones; the entry of this zone is ignored. */
    public void update(Map<AvailabilityZoneId, ZoneDemand> zones) {
        ImmutableMap.Builder<AvailabilityZoneId, ZoneDemand> builder = ImmutableMap.builder();
        for (Map.Entry<AvailabilityZoneId, ZoneDemand> entry : zones.entrySet()) {
            if (!entry.getKey().equals(zone)) {
                builder.put(entry);
            }
        }
        otherZones = builder.buildOrThrow();
        update++;
    }

    /** Returns this zone's fraction of the organisation's allowance, given its own demand in tokens per minute. */
    public double share(OrganisationId organisation, double ownDemand) {
        if (otherZones.isEmpty()) {
            return 1;
        }
        ShareState state = shareStates.computeIfAbsent(organisation, o -> new ShareState());
        if (state.lastUpdate != update) {
            state.lastUpdate = update;
            updateShare(state, organisation, ownDemand);
        }
        return state.share;
    }

    private void updateShare(ShareState state, OrganisationId organisation, double ownDemand) {
        int zones = otherZones.size() + 1;
        double equal = 1.0 / zones;
        double sum = ownDemand;
        for (ZoneDemand other : otherZones.values()) {
            if (!other.responsive()) {
                state.share = state.share < 0 ? equal : state.share;
                return;
            }
            sum += demand(other, organisation);
        }
        double minimum = floor * equal;
        double desired = minimum + (1 - zones * minimum) * demandFraction(ownDemand, sum, zones);
        // The first share is at most equal: a zone that has just started has not received the shares of the others.
        double previous = state.share < 0 ? Math.min(equal, desired) : state.share;
        state.share = Math.min(desired, previous + MAX_STEP);
    }

    private static double demandFraction(double demand, double sum, int zones) {
        return sum <= 0 ? 1.0 / zones : demand / sum;
    }

    private static long demand(ZoneDemand zone, OrganisationId organisation) {
        Long perMinute = zone.tokensPerMinute().get(organisation);
        return perMinute == null ? 0 : Math.max(0, perMinute);
    }

    private static final class ShareState {
        private double share = -1;
        private long lastUpdate = -1;
    }
}
