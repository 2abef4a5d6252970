package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AvailabilityZoneId;

/**
 * The state of the other zones, as received by this host.
 *
 * @param highestKnown the highest change number received from any zone, this one included
 */
public record ZonesView(ImmutableMap<AvailabilityZoneId, ZoneStatus> zones, long highestKnown) {
    /**
     * The state of one other zone.
     *
     * @param responsive whether a digest was received within the zone timeout; if not, all else is the last known state
     * @param lowestApplied the last change that is in effect on all live hosts of the zone
     * @param memberCount the number of live hosts
     * @param members the live hosts, as last received
     * @param summary the zone's summary; kept up to date on the hosts that hold the dispatcher or planner role
     */
    public record ZoneStatus(
            boolean responsive,
            long lowestApplied,
            int memberCount,
            ImmutableList<Member> members,
            Optional<Payload> summary) {}
}
