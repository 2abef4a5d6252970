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
 * Selects the watcher of a table in this host's zone, which reads the changes from the store for the other hosts: the
 * largest host, or one chosen by rendezvous hashing among the largest.
 *
 * <p>Not thread-safe. Hosts with different views select different watchers for a while. This only costs additional
 * calls, because each host sends the age of its data with its response. Times are monotonic nanoseconds.
 *
 * <p>Load pattern: the watcher crashes, freezes or is refused by the store.
 */
public final class WatcherChoice {
    /**
     * The least number of hosts in a zone with a watcher; in smaller zones each host watches the store itself, as its
     * deployment may allow less time for a change to take effect than a watcher that is isolated costs.
     */
    public static final int MIN_HOSTS = 8;

    /** The number of hosts that are tried; if all of them failed, this host reads the store itself. */
    private static final int CANDIDATE_COUNT = 3;

    /** How long a failed host is excluded: a killed host is back after about this time. */
    private static final Duration EXCLUSION_PERIOD = Duration.ofSeconds(3);

    private final HostId self;
    private final String rendezvousKey;
    private final Map<HostId, Long> excludedUntil = new HashMap<>();
    private ImmutableList<HostId> candidates = ImmutableList.of();
    private ImmutableList<HostId> otherHosts = ImmutableList.of();

    /** Creates a choice without other hosts for the given table. */
    public WatcherChoice(HostId self, String table) {
        this.self = checkNotNull(self);
        this.rendezvousKey = "watcher/" + table;
    }

    /** Sets the hosts of this host's zone; this host may be missing from them. */
    public void setHosts(Collection<SizedHost> hosts) {
        ImmutableList<SizedHost> all = ImmutableList.<SizedHost>builder()
                .add(new SizedHost(self, 0))
                .addAll(hosts)
                .build();
        ImmutableList<HostId> ranked = Rendezvous.rankBySize(rendezvousKey, all);
        candidates = ranked.size() < MIN_HOSTS ? ImmutableList.of() : ranked.subList(0, CANDIDATE_COUNT);
        otherHosts = ranked.stream().filter(host -> !host.equals(self)).collect(ImmutableList.toImmutableList());
        excludedUntil.keySet().retainAll(ranked);
    }

    /** Records that a host did not respond, or that its data was insufficient. */
    public void recordFailure(HostId host, long now) {
        excludedUntil.put(host, now + EXCLUSION_PERIOD.toNanos());
    }

    /** Returns the host to read from, or empty if this host should read the store. */
    public Optional<HostId> select(long now) {
        for (HostId host : candidates) {
            if (host.equals(self)) {
                return Optional.empty();
            }
            if (!isExcluded(host, now)) {
                return Optional.of(host);
            }
        }
        return Optional.empty();
    }

    /** Returns any host to read from while the store does not serve this one, in a zone of any size; may be empty. */
    public Optional<HostId> selectFallback(long now) {
        return otherHosts.stream().filter(host -> !isExcluded(host, now)).findFirst();
    }

    private boolean isExcluded(HostId host, long now) {
        Long until = excludedUntil.get(host);
        return until != null && now - until < 0;
    }
}
