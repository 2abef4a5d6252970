package org.boragebarrow.decision.assign;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.placement.Rendezvous;
import org.boragebarrow.decision.placement.SizedHost;
import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Selects the host whose assigner this host uses: the first live host in an order that all hosts share, largest hosts
 * first.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. Hosts with different views use different assigners for a while,
 * which costs efficiency only. Only the hosts up to the second live one are probed, and few unknown ones at once, so in a large
 * fleet each host sends two probes per round, and opens few links when all hosts start together.
 *
 * <p>Load pattern: the assigner's host crashes, hangs, is partitioned or is stopped while requests keep arriving.
 */
public final class AssignerChoice {
    /** Interval between probes of a live host. */
    public static final long PROBE_INTERVAL_MILLIS = 700;

    /** Time without a response after which a host is treated as lost: two probe intervals and a round trip. */
    public static final long LIVENESS_TIMEOUT_MILLIS = 1_600;

    private static final String RENDEZVOUS_KEY = "assigner";

    /** Number of live hosts that are probed: the one in use and its successor. */
    private static final int PROBED_LIVE_HOSTS = 2;

    /**
     * Maximum number of hosts that are probed for the first time at once: after a start all are unknown, and each such
     * probe opens a link.
     */
    private static final int MAX_FIRST_PROBES = 8;

    /** Maximum interval between probes of an unresponsive host. */
    private static final long MAX_PROBE_INTERVAL_MILLIS = 4_000;

    private final HostId self;
    private final Map<HostId, Long> lastResponseAt = new HashMap<>();
    private final Map<HostId, ProbeBackoff> backoffs = new HashMap<>();
    private final Set<HostId> stopping = new HashSet<>();
    private ImmutableList<HostId> ranked;

    private record ProbeBackoff(long nextAt, long intervalMillis) {}

    /** Creates a choice among this host only. */
    public AssignerChoice(HostId self) {
        this.self = checkNotNull(self);
        this.ranked = ImmutableList.of(self);
    }

    /** Sets the candidate hosts; this host is always a candidate, whether listed or not. */
    public void setHosts(Collection<SizedHost> hosts) {
        ImmutableList<SizedHost> all = ImmutableList.<SizedHost>builder()
                .add(new SizedHost(self, 0))
                .addAll(hosts)
                .build();
        ranked = Rendezvous.rankBySize(RENDEZVOUS_KEY, all);
        lastResponseAt.keySet().retainAll(ranked);
        backoffs.keySet().retainAll(ranked);
        stopping.retainAll(ranked);
    }

    /** Records a response of a host. */
    public void recordResponse(HostId host, long now) {
        if (ranked.contains(host)) {
            lastResponseAt.put(host, now);
            backoffs.remove(host);
        }
    }

    /** Records that a host left a request unanswered; it is treated as lost until its next response. */
    public void recordTimeout(HostId host) {
        lastResponseAt.remove(host);
    }

    /** Records that a host, which may be this one, is stopping; it is selected only if all live hosts are stopping. */
    public void recordStopping(HostId host) {
        if (ranked.contains(host)) {
            stopping.add(host);
        }
    }

    /** Records that a host has a new incarnation, which is not stopping. */
    public void recordRestart(HostId host) {
        stopping.remove(host);
    }

    /** Returns the host whose assigner to use. */
    public HostId select(long now) {
        for (HostId host : ranked) {
            if (isAlive(host, now) && !stopping.contains(host)) {
                return host;
            }
        }
        for (HostId host : ranked) {
            if (isAlive(host, now)) {
                return host;
            }
        }
        return self;
    }

    private boolean isAlive(HostId host, long now) {
        Long last = lastResponseAt.get(host);
        return host.equals(self)
                || (last != null && now - last < TimeUnit.MILLISECONDS.toNanos(LIVENESS_TIMEOUT_MILLIS));
    }

    /** Returns the hosts to probe now. */
    public ImmutableList<HostId> hostsToProbe(long now) {
        ImmutableList.Builder<HostId> due = ImmutableList.builder();
        int live = 0;
        int firstProbes = 0;
        for (HostId host : ranked) {
            if (live == PROBED_LIVE_HOSTS) {
                break;
            }
            boolean alive = isAlive(host, now);
            live += alive && !stopping.contains(host) ? 1 : 0;
            boolean first = !alive && !backoffs.containsKey(host);
            if (host.equals(self) || (first && firstProbes == MAX_FIRST_PROBES)) {
                continue;
            }
            if (isDue(host, alive, now)) {
                due.add(host);
                firstProbes += first ? 1 : 0;
            }
        }
        return due.build();
    }

    private boolean isDue(HostId host, boolean alive, long now) {
        if (alive) {
            return true;
        }
        ProbeBackoff last = backoffs.get(host);
        if (last != null && now - last.nextAt() < 0) {
            return false;
        }
        long interval =
                last == null ? PROBE_INTERVAL_MILLIS : Math.min(2 * last.intervalMillis(), MAX_PROBE_INTERVAL_MILLIS);
        backoffs.put(host, new ProbeBackoff(now + TimeUnit.MILLISECONDS.toNanos(interval), interval));
        return true;
    }
}
