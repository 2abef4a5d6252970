package org.boragebarrow.decision.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Ordering;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static java.nio.charset.StandardCharsets.US_ASCII;

/**
 * Chooses hosts for a key by rendezvous hashing (highest random weight).
 *
 * <p>The choice depends only on the key and the set of hosts and is the same in every process and version. When a host
 * joins or leaves, only that host's keys move.
 */
public final class Rendezvous {
    private static final HashFunction HASH = Hashing.murmur3_128(0);

    private Rendezvous() {}

    /** Returns the host with the highest weight for the key, or empty if there are no hosts. */
    public static Optional<HostId> choose(String key, Collection<HostId> hosts) {
        checkNotNull(key);
        HostId best = null;
        long bestWeight = 0;
        for (HostId host : hosts) {
            long weight = weight(key, host);
            if (best == null || weight > bestWeight || (weight == bestWeight && host.compareTo(best) < 0)) {
                best = host;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns up to {@code limit} hosts, highest weight for the key first. */
    public static ImmutableList<HostId> rank(String key, Collection<HostId> hosts, int limit) {
        checkNotNull(key);
        checkArgument(limit >= 0, "limit must not be negative: %s", limit);
        ImmutableList<WeightedHost> weighted = hosts.stream()
                .distinct()
                .map(host -> new WeightedHost(host, weight(key, host)))
                .collect(ImmutableList.toImmutableList());
        return Ordering.from(WeightedHost.HEAVIEST_FIRST).leastOf(weighted, limit).stream()
                .map(WeightedHost::host)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns all hosts, ordered by processor size, largest first, then by weight for the key, highest first. A role
     * that serves many hosts needs more processor capacity than a small host has.
     */
    public static ImmutableList<HostId> rankBySize(String key, Collection<SizedHost> hosts) {
        ImmutableMap.Builder<HostId, Integer> sizes = ImmutableMap.builder();
        hosts.forEach(host -> sizes.put(host.id(), host.centicores()));
        ImmutableMap<HostId, Integer> centicores = sizes.buildKeepingLast();
        Comparator<HostId> largestFirst =
                Comparator.comparingInt((HostId host) -> centicores.get(host)).reversed();
        // The sort is stable, so hosts of equal size stay ordered by weight.
        return ImmutableList.sortedCopyOf(largestFirst, rank(key, centicores.keySet(), centicores.size()));
    }

    private static long weight(String key, HostId host) {
        return HASH.newHasher(key.length() + host.value().length() + 1)
                .putString(key, US_ASCII)
                .putByte((byte) 0)
                .putString(host.value(), US_ASCII)
                .hash()
                .asLong();
    }

    private record WeightedHost(HostId host, long weight) {
        private static final Comparator<WeightedHost> HEAVIEST_FIRST =
                Comparator.comparingLong(WeightedHost::weight).reversed().thenComparing(WeightedHost::host);
    }
}
