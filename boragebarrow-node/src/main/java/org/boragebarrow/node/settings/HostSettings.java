package org.boragebarrow.node.settings;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.plan.PlannerSettings;
import org.boragebarrow.http.server.ServerLimits;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;

/**
 * The validated settings of one host.
 *
 * @param grantTimeout how long this host waits for the dispatcher's response before it chooses a target locally
 * @param drainGrace how long a draining host still accepts requests, so that the balancer detects the drain first
 */
public record HostSettings(
        HostId id,
        AvailabilityZoneId zone,
        int ioThreads,
        Endpoint callers,
        ServerLimits callerLimits,
        Endpoint admin,
        Secret adminToken,
        Endpoint peers,
        Secret peerKey,
        ImmutableList<Seed> seeds,
        Platform platform,
        Planning planning,
        int maxRequests,
        int ringCapacity,
        Duration grantTimeout,
        Duration drainGrace,
        int maxOrganisationSeries,
        ImmutableMap<ServiceName, ServiceSettings> services,
        ImmutableList<Target> targets) {
    /** The endpoints of the platform's services, and the timeout of one call to them. */
    public record Platform(Endpoint table, Endpoint objects, Endpoint hostList, Endpoint weights, Duration timeout) {}

    /**
     * The settings of the zone's planner.
     *
     * @param lease the duration of the planner's lease
     * @param unfencedEngines the engines that ignore fencing numbers
     */
    public record Planning(PlannerSettings planner, Duration lease, ImmutableSet<TargetId> unfencedEngines) {}

    /**
     * Reads and validates a settings file.
     *
     * @throws SettingsException if the file is invalid, with all its problems
     * @throws IOException if the file cannot be read
     */
    public static HostSettings read(Path path) throws IOException {
        return HostSettingsReader.read(SettingsFile.read(path));
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @throws SettingsException if the text is invalid, with all its problems
     */
    public static HostSettings parse(String text) {
        return HostSettingsReader.read(SettingsFile.parse(text));
    }
}
