package org.boragebarrow.decision.watch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.placement.Rendezvous;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Finds the host of this host's zone that follows a table for the others: the largest, and by rendezvous among equals.
 *
 * <p>Not thread-safe. Hosts with different views choose differently for a while, which costs calls only: whoever is asked
 * answers with the age of what it knows. Times are monotonic nanoseconds.
 *
 * <p>Load pattern: the following host dies, freezes or is turned away by the store.
 */
public final class WatcherChoice {
    /** Hosts of a zone below which each follows the store itself: a watcher's short calls cost as much as six hosts'. */
    public static final int LEAST_HOSTS = 8;

    /** Hosts that are tried; with all of them gone, the store is asked. */
    private static final int CANDIDATES = 3;

    /** How long a host that failed is passed over: a host that was killed is back after about as long. */
    private static final Duration PASSED_OVER = Duration.ofSeconds(3);

    private final HostId self;
    private final String duty;
    private final Map<HostId, Long> passedOverUntil = new HashMap<>();
    private ImmutableList<HostId> candidates = ImmutableList.of();
    private ImmutableList<HostId> others = ImmutableList.of();

    /** Creates a choice for a table that knows no other host. */
    public WatcherChoice(HostId self, String table) {
        this.self = checkNotNull(self);
        this.duty = "watcher/" + table;
    }

    /** Sets the hosts of this host's zone, this one or not among them. */
    public void setHosts(Collection<SizedHost> hosts) {
        ImmutableList<SizedHost> all = ImmutableList.<SizedHost>builder()
                .add(new SizedHost(self, 0))
                .addAll(hosts)
                .build();
        ImmutableList<HostId> ranked = Rendezvous.rankBySize(duty, all);
        candidates = ranked.size() < LEAST_HOSTS ? ImmutableList.of() : ranked.subList(0, CANDIDATES);
        others = ranked.stream().filter(host -> !host.equals(self)).collect(ImmutableList.toImmutableList());
        passedOverUntil.keySet().retainAll(ranked);
    }

    /** Takes note that a host did not answer, or knew too little. */
    public void failed(HostId host, long now) {
        passedOverUntil.put(host, now + PASSED_OVER.toNanos());
    }

    /** Returns the host to ask, or empty if this host should ask the store. */
    public Optional<HostId> watcher(long now) {
        for (HostId host : candidates) {
            if (host.equals(self)) {
                return Optional.empty();
            }
            if (!isPassedOver(host, now)) {
                return Optional.of(host);
            }
        }
        return Optional.empty();
    }

    /** Returns any host to ask while the store does not serve this one, in a zone of any size, or empty without one. */
    public Optional<HostId> other(long now) {
        return others.stream().filter(host -> !isPassedOver(host, now)).findFirst();
    }

    private boolean isPassedOver(HostId host, long now) {
        Long until = passedOverUntil.get(host);
        return until != null && now - until < 0;
    }
}
