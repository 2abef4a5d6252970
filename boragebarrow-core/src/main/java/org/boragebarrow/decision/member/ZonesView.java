package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AvailabilityZoneId;

/**
 * What this host knows of the other zones.
 *
 * @param highestKnown the highest change number heard of in any zone, this one included
 */
public record ZonesView(ImmutableMap<AvailabilityZoneId, ZoneStatus> zones, long highestKnown) {
    /**
     * One other zone.
     *
     * @param heard whether the zone was heard from lately; all else is the last known if not
     * @param lowestApplied the last change that is in force on all live hosts of the zone
     * @param memberCount the number of live hosts
     * @param members the live hosts, as last told
     * @param summary the zone's summary; kept up to date on the hosts that hold the dispatcher or planner role
     */
    public record ZoneStatus(
            boolean heard,
            long lowestApplied,
            int memberCount,
            ImmutableList<Member> members,
            Optional<Payload> summary) {}
}
