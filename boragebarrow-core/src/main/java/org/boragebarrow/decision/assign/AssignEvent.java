package org.boragebarrow.decision.assign;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

/** What the assigner learns. */
public sealed interface AssignEvent {
    /** An attempt asks for a target. */
    record Submitted(Work work) implements AssignEvent {}

    /** The first event of an attempt's answer came. */
    record FirstEventSeen(AttemptId id) implements AssignEvent {}

    /** An attempt ended or no longer wants a target. */
    record Ended(AttemptId id, Outcome outcome) implements AssignEvent {}

    /** A host holds an assignment that this assigner may not know of. */
    record Held(Work work, TargetId target, ImmutableList<Helper.Ref> helpers, boolean firstEventSeen)
            implements AssignEvent {}

    /** A host is gone, with all its attempts. */
    record HostLost(HostId host) implements AssignEvent {}

    /** The targets, draining ones included. */
    record FleetChanged(ImmutableList<FleetTarget> targets) implements AssignEvent {}

    /** The published speeds of services whose targets are engines. */
    record ProfilesChanged(ImmutableMap<ServiceName, EngineProfile> profiles) implements AssignEvent {}

    /** Time has passed while work waits. */
    record Ticked() implements AssignEvent {}
}
