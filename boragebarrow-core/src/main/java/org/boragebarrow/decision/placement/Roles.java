package org.boragebarrow.decision.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/** Static functions that assign the roles of one zone to its hosts. */
public final class Roles {
    /** The number of hosts that poll each target. */
    public static final int OBSERVERS_PER_TARGET = 2;

    private Roles() {}

    /** Returns the host that holds the role, or empty if there are no hosts. */
    public static Optional<HostId> holder(Role role, Collection<HostId> hosts) {
        return Rendezvous.choose(checkNotNull(role).key(), hosts);
    }

    /** Returns whether the host holds the role. */
    public static boolean holds(HostId host, Role role, Collection<HostId> hosts) {
        checkNotNull(host);
        return holder(role, hosts).filter(host::equals).isPresent();
    }

    /** Returns the hosts that poll the target; fewer than {@link #OBSERVERS_PER_TARGET} only if the zone has fewer. */
    public static ImmutableList<HostId> observers(TargetId target, Collection<HostId> hosts) {
        return Rendezvous.rank(new Role.Observer(target).key(), hosts, OBSERVERS_PER_TARGET);
    }

    /**
     * Returns the bridge host for each other zone; empty if there are no hosts.
     *
     * <p>Each host is the bridge for at most its even share of the zones, rounded up, so that no host has several zones
     * while another has none.
     */
    public static ImmutableMap<AvailabilityZoneId, HostId> bridges(
            Collection<HostId> hosts, Collection<AvailabilityZoneId> others) {
        ImmutableSortedSet<AvailabilityZoneId> zones = ImmutableSortedSet.copyOf(others);
        ImmutableSortedSet<HostId> candidates = ImmutableSortedSet.copyOf(hosts);
        if (candidates.isEmpty() || zones.isEmpty()) {
            return ImmutableMap.of();
        }
        int maxZonesPerHost = (zones.size() + candidates.size() - 1) / candidates.size();
        Map<HostId, Integer> zonesByHost = new HashMap<>();
        ImmutableMap.Builder<AvailabilityZoneId, HostId> bridges = ImmutableMap.builder();
        for (AvailabilityZoneId zone : zones) {
            for (HostId host : Rendezvous.rank(new Role.Bridge(zone).key(), candidates, candidates.size())) {
                if (zonesByHost.merge(host, 1, Integer::sum) <= maxZonesPerHost) {
                    bridges.put(zone, host);
                    break;
                }
                zonesByHost.merge(host, -1, Integer::sum);
            }
        }
        return bridges.buildOrThrow();
    }
}
