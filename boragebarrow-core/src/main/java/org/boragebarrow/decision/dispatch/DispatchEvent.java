package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Configuration;
import org.boragebarrow.model.HostLife;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

/** What happens to a dispatcher. */
public sealed interface DispatchEvent {
    /** A front asks for a grant; repeating the same attempt is idempotent. */
    record Submitted(GrantRequest request) implements DispatchEvent {}

    /** A front no longer wants a grant or does not use the one it got. */
    record Withdrawn(AttemptId attempt) implements DispatchEvent {}

    /** A front still uses its grants; also tells a new dispatcher of grants that another one made. */
    record Renewed(HostLife front, ImmutableList<HeldGrant> grants) implements DispatchEvent {}

    /** A front no longer uses a grant. */
    record Finished(AttemptId attempt, TargetId target, int answerTokens, Outcome outcome) implements DispatchEvent {}

    /** A front is dead: its queued requests and grants are dropped. */
    record FrontLost(HostLife front) implements DispatchEvent {}

    /** The zone's targets, replacing the earlier list. */
    record TargetsListed(ImmutableList<Target> targets) implements DispatchEvent {}

    /** An engine reported its load. */
    record LoadReported(TargetId target, EngineControl.LoadReport report) implements DispatchEvent {}

    /** An engine reported cache events. */
    record CacheReported(TargetId target, EngineControl.CacheEvents events) implements DispatchEvent {}

    /** A target did not answer its observers for too long, or answers again. */
    record ReachabilityChanged(TargetId target, boolean reachable) implements DispatchEvent {}

    /** Another configuration is in force. */
    record Configured(Configuration configuration) implements DispatchEvent {}

    /** Other zones told their state; used to pass requests on and to size this zone's share of allowances. */
    record ZonesSummarised(ImmutableMap<AvailabilityZoneId, ZoneSummary> zones) implements DispatchEvent {}

    /** Time passed. */
    record Ticked() implements DispatchEvent {}

    /** A grant in use, as its front tells it. */
    record HeldGrant(GrantRequest request, ImmutableList<TargetId> targets) {}

    /** How a granted attempt ended. */
    enum Outcome {
        /** The answer is whole. */
        COMPLETED,
        /** The caller went away or the time limit passed. */
        CANCELLED,
        /** The target failed or refused. */
        FAILED
    }
}
