package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

/** The events of a dispatcher. */
public sealed interface DispatchEvent {
    /** A front requests a grant; submitting the same attempt again is idempotent. */
    record Submitted(GrantRequest request) implements DispatchEvent {}

    /** A front cancels its request for a grant, or returns an unused grant. */
    record Withdrawn(AttemptId attempt) implements DispatchEvent {}

    /** A front renews the grants that it uses; a new dispatcher also restores the grants of an earlier one from it. */
    record Renewed(HostIncarnation front, ImmutableList<HeldGrant> grants) implements DispatchEvent {}

    /** A granted attempt has ended, so that its front no longer uses the grant. */
    record Finished(AttemptId attempt, TargetId target, int answerTokens, Outcome outcome) implements DispatchEvent {}

    /** A front has failed; its queued requests and grants are dropped. */
    record FrontLost(HostIncarnation front) implements DispatchEvent {}

    /** The complete list of the zone's targets, which replaces the previous list. */
    record TargetsListed(ImmutableList<Target> targets) implements DispatchEvent {}

    /** An engine reported its load. */
    record LoadReported(TargetId target, EngineControl.LoadReport report) implements DispatchEvent {}

    /** An engine reported cache events. */
    record CacheReported(TargetId target, EngineControl.CacheEvents events) implements DispatchEvent {}

    /** A target has become unreachable, as it has not responded to its observers for too long, or reachable again. */
    record ReachabilityChanged(TargetId target, boolean reachable) implements DispatchEvent {}

    /** A new configuration is in effect. */
    record Configured(Configuration configuration) implements DispatchEvent {}

    /** Summaries received from other zones, used to spill requests and to size this zone's share of allowances. */
    record ZonesSummarised(ImmutableMap<AvailabilityZoneId, ZoneSummary> zones) implements DispatchEvent {}

    /** Time has passed without another event. */
    record Ticked() implements DispatchEvent {}

    /** A grant in use, as reported by its front. */
    record HeldGrant(GrantRequest request, ImmutableList<TargetId> targets) {}

    /** How a granted attempt ended. */
    enum Outcome {
        /** The answer is complete. */
        COMPLETED,
        /** The caller disconnected or the time limit passed. */
        CANCELLED,
        /** The target failed or refused the request. */
        FAILED
    }
}
