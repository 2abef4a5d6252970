package org.boragebarrow.decision.member;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.placement.Roles;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;

/** The other zones and the bridges to them. */
final class PeerZones {
    private final Map<AvailabilityZoneId, PeerZone> zones = new TreeMap<>();
    private final AvailabilityZoneId ownZone;

    PeerZones(AvailabilityZoneId ownZone) {
        this.ownZone = ownZone;
    }

    /** Returns the zone, and adds it if it was unknown. */
    PeerZone get(AvailabilityZoneId id) {
        return zones.computeIfAbsent(id, PeerZone::new);
    }

    Collection<PeerZone> all() {
        return zones.values();
    }

    /** Returns a number that increases with each change, except when a zone becomes unresponsive. */
    long revision() {
        long sum = zones.size();
        for (PeerZone zone : zones.values()) {
            sum += zone.revision();
        }
        return sum;
    }

    boolean isAnyResponsive(long withinNanos, long now) {
        return zones.values().stream().anyMatch(zone -> zone.isResponsive(withinNanos, now));
    }

    void shiftTimestamps(long nanos) {
        zones.values().forEach(zone -> zone.shiftTimestamps(nanos));
    }

    /** Returns the hosts of this zone that bridge to each other zone. */
    ImmutableMap<AvailabilityZoneId, HostId> bridges(ImmutableSet<HostId> eligible) {
        return Roles.bridges(eligible, zones.keySet());
    }

    /**
     * Returns the hosts of another zone to which a digest is sent: its bridge while the zone is responsive, else a few
     * hosts in turn.
     */
    ImmutableList<Member> digestRecipients(PeerZone zone, boolean responsive, int attempts) {
        if (responsive) {
            HostId bridge = Roles.bridges(zone.hosts(), peerZonesOf(zone)).get(ownZone);
            if (bridge != null) {
                return zone.find(bridge).map(ImmutableList::of).orElse(ImmutableList.of());
            }
        }
        ImmutableSet.Builder<Member> members = ImmutableSet.builder();
        for (int i = 0; i < attempts; i++) {
            zone.nextMember().ifPresent(members::add);
        }
        return members.build().asList();
    }

    private ImmutableSet<AvailabilityZoneId> peerZonesOf(PeerZone zone) {
        ImmutableSet.Builder<AvailabilityZoneId> others = ImmutableSet.builder();
        others.add(ownZone);
        zones.keySet().stream().filter(id -> !id.equals(zone.id)).forEach(others::add);
        return others.build();
    }

    ZonesView view(long highestKnown, long timeoutNanos, long now) {
        ImmutableMap.Builder<AvailabilityZoneId, ZonesView.ZoneStatus> view = ImmutableMap.builder();
        zones.forEach((id, zone) -> view.put(id, zone.status(timeoutNanos, now)));
        return new ZonesView(view.buildOrThrow(), highestKnown);
    }
}
