package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.home.ZoneRegions;
import org.boragebarrow.decision.quarantine.PartKey;
import org.boragebarrow.decision.routing.ColdStart;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

/** An event that the {@link Assigner} handles. */
public sealed interface AssignEvent {
    /** An attempt requests a target. */
    record Submitted(Work work) implements AssignEvent {}

    /** The host received the first event of an attempt's answer. */
    record FirstEventSeen(AttemptId id) implements AssignEvent {}

    /** An attempt ended or no longer needs a target. */
    record Ended(AttemptId id, Outcome outcome) implements AssignEvent {}

    /** A host reports an assignment in use, which another assigner may have made. */
    record AssignmentReported(
            Work work, TargetId target, ImmutableList<HelperTarget.Ref> helpers, boolean firstEventSeen)
            implements AssignEvent {}

    /** A target refused a connection that a host opened because an earlier one had ended before its answer. */
    record ConnectionRefused(TargetIncarnation target) implements AssignEvent {}

    /** A target wants no requests of the host for some time; those of other hosts are not concerned. */
    record QuietRequested(HostId host, TargetIncarnation target, Duration time) implements AssignEvent {}

    /** A host was lost, with all its attempts. */
    record HostLost(HostId host) implements AssignEvent {}

    /** The set of targets changed; {@code targets} includes draining ones. */
    record FleetChanged(ImmutableList<FleetTarget> targets) implements AssignEvent {}

    /** The published profiles of services whose targets are engines changed. */
    record ProfilesChanged(ImmutableMap<ServiceName, EngineProfile> profiles) implements AssignEvent {}

    /** The parts that are quarantined changed, or those whose quarantine was lifted after some time. */
    record QuarantineChanged(ImmutableSet<PartKey> quarantined, ImmutableSet<PartKey> onProbation)
            implements AssignEvent {}

    /** What determines which targets work may use, apart from the targets themselves, changed. */
    sealed interface PermissionsChanged extends AssignEvent {}

    /** The zones that operators have emptied changed; {@code zones} are all that are empty now. */
    record ZonesEmptied(ImmutableSet<AvailabilityZoneId> zones) implements PermissionsChanged {}

    /** The regions of zones changed. */
    record RegionsChanged(ZoneRegions regions) implements PermissionsChanged {}

    /** What targets bear while they are cold changed. */
    record ColdStartsChanged(ImmutableMap<ServiceName, ColdStart> starts) implements PermissionsChanged {}

    /**
     * A target's entry states for how much longer it is cold.
     *
     * @param left empty if what it states cannot be used
     */
    record ColdReported(TargetIncarnation target, Optional<Duration> left) implements PermissionsChanged {}

    /** All hosts, and those whose work is assigned here, which share the pace of cold targets, changed. */
    record HostsChanged(ImmutableSet<HostId> registered, ImmutableSet<HostId> served) implements PermissionsChanged {}

    /** The copies of slow requests that may be sent for each request changed; {@code share} is between 0 and 1. */
    record DuplicateShareChanged(double share) implements AssignEvent {}

    /** Time has passed while work is queued. */
    record Ticked() implements AssignEvent {}
}
