package org.boragebarrow.decision.routing;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.UrgencyRank;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A routing rule that sends requests with a given host name and path prefix to one of several weighted services.
 *
 * @param prefix the path prefix; begins and ends with a slash
 * @param timeout the operator's limit on how long a request may take
 * @param objective the service level objective for the time to the first event, or to the complete response
 * @param pauseObjective the service level objective for the pause between two events; present only for streams
 * @param maxTargets the most targets that one request may be sent to
 * @param allowsAnonymous whether requests are accepted without a key
 * @param rank the rank of its requests, unless their organisation has one
 * @param homes the regions whose targets its requests may reach; empty if they may reach all
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration objective,
        Optional<Duration> pauseObjective,
        int maxTargets,
        boolean allowsAnonymous,
        ImmutableList<WeightedService> services,
        Optional<UrgencyRank> rank,
        ImmutableSet<RegionId> homes) {
    /** A service and its weight among the route's services. */
    public record WeightedService(ServiceName service, int weight) {
        public WeightedService {
            checkArgument(weight >= 0, "negative weight: %s", weight);
        }
    }

    public Route {
        checkArgument(prefix.startsWith("/") && prefix.endsWith("/"), "prefix must start and end with /: %s", prefix);
        checkArgument(maxTargets > 0, "targets must be positive: %s", maxTargets);
        checkArgument(!services.isEmpty(), "route \"%s\" has no service", name);
    }

    /**
     * Selects the service for a request in proportion to the weights.
     *
     * @param selector between 0, inclusive, and 1, exclusive; requests with the same selector get the same service
     */
    public ServiceName service(double selector) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = selector * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.get(0).service();
    }
}
