package org.boragebarrow.node.relay;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.base.Ticker;
import io.netty.channel.EventLoop;
import org.boragebarrow.decision.evacuation.EmptiedZones;
import org.boragebarrow.decision.fleet.Fleet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.QuietPeriods;
import org.boragebarrow.decision.home.ZoneRegions;
import org.boragebarrow.decision.memory.ResponseMemory;
import org.boragebarrow.decision.quarantine.Quarantine;
import org.boragebarrow.decision.retry.RetryQuota;
import org.boragebarrow.decision.routing.RoutingTableHolder;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.node.metrics.HostMetrics;

/**
 * State shared by all requests of a host; all but the log and the metrics is confined to the event loop.
 *
 * @param loop the event loop on which requests, the fleet and the routing are handled
 * @param regions supplies the regions of zones
 * @param responses the memory that responses of targets hold
 * @param random seeded by the process; adds jitter to the retry delays of refused callers
 */
public record RelayContext(
        HostIncarnation self,
        AvailabilityZoneId zone,
        EventLoop loop,
        Ticker ticker,
        RandomGenerator random,
        RoutingTableHolder routing,
        Fleet fleet,
        EmptiedZones emptied,
        Supplier<ZoneRegions> regions,
        QuietPeriods quiet,
        RetryQuota retryQuota,
        Quarantine quarantine,
        Assignments assignments,
        TargetCalls calls,
        ResponseMemory responses,
        DecisionLog log,
        HostMetrics metrics) {
    /** Returns whether a new request may be sent to the incarnation of the target. */
    boolean isUsable(FleetTarget target) {
        return fleet.isUsable(target)
                && !emptied.contains(target.zone())
                && !quiet.isQuiet(target.incarnation(), ticker.read());
    }
}
