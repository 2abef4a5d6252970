package org.boragebarrow.decision.home;

import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.RegionId;

import static com.google.common.base.Preconditions.checkNotNull;

/** The regions of zones. Immutable. A zone that is not contained is outside every home. */
public record ZoneRegions(ImmutableMap<AvailabilityZoneId, RegionId> byZone) {
    /** No zone is known. */
    public static final ZoneRegions NONE = new ZoneRegions(ImmutableMap.of());

    public ZoneRegions {
        checkNotNull(byZone);
    }

    /** Returns whether work with the homes may reach the targets of the zone; without homes, it may reach all. */
    public boolean allows(Optional<ImmutableSet<RegionId>> homes, AvailabilityZoneId zone) {
        if (homes.isEmpty()) {
            return true;
        }
        RegionId region = byZone.get(zone);
        return region != null && homes.get().contains(region);
    }
}
