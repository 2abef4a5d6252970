package org.boragebarrow.node.relay;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;

/**
 * A host's view of the deployment at one time.
 *
 * @param routingVersion the version of the routing in effect; empty if none was read yet
 * @param assigner the host that assigns targets to this host's requests
 * @param targets all targets, draining ones included
 * @param leaving the targets that said in an answer that they leave
 * @param quiet the targets that want no requests of this host, with the time that is left
 * @param emptied the zones that operators have emptied, with the time for which this host has known it
 */
public record HostStatus(
        HostId host,
        boolean ready,
        int requestsInProgress,
        Optional<Long> routingVersion,
        HostId assigner,
        ImmutableList<FleetTarget> targets,
        ImmutableList<FleetTarget> leaving,
        ImmutableMap<TargetIncarnation, Duration> quiet,
        ImmutableMap<AvailabilityZoneId, Duration> emptied,
        int quarantinedParts) {}
