package org.boragebarrow.decision.routing;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One rule of routing: requests to a host name whose path begins with a prefix go to some services.
 *
 * @param prefix begins and ends with a slash
 * @param timeout how long the operator lets a caller wait at most
 * @param objective the time to the first event, or to the whole answer, that serves the caller well
 * @param pauseObjective the longest pause between two events that serves the caller well; only of streams
 * @param maxTargets the most targets that one request may be sent to
 * @param open whether no key is asked for
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
        boolean open,
        ImmutableList<Share> shares) {
    /** A service and its weight among the route's services. */
    public record Share(ServiceName service, int weight) {
        public Share {
            checkArgument(weight >= 0, "negative weight: %s", weight);
        }
    }

    public Route {
        checkArgument(prefix.startsWith("/") && prefix.endsWith("/"), "prefix without slashes: \"%s\"", prefix);
        checkArgument(maxTargets > 0, "targets must be positive: %s", maxTargets);
        checkArgument(!shares.isEmpty(), "route \"%s\" has no service", name);
    }

    /**
     * Returns the service for a request.
     *
     * @param draw between 0, inclusive, and 1, exclusive; requests with the same draw get the same service
     */
    public ServiceName service(double draw) {
        int total = shares.stream().mapToInt(Share::weight).sum();
        double left = draw * total;
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(0).service();
    }
}
