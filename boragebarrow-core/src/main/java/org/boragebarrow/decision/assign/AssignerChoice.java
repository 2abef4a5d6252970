package org.boragebarrow.decision.assign;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
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
 * which costs efficiency only. Only the hosts up to the second live one are probed, so in a large fleet each host sends
 * two probes per round.
 *
 * <p>Load pattern: the assigner's host crashes, hangs or is partitioned while requests keep arriving.
 */
public final class AssignerChoice {
    /** Interval between probes of a live host. */
    public static final long PROBE_MILLIS = 700;

    /** Time without a response after which a host counts as lost: two probe intervals and a round trip. */
    public static final long SILENCE_MILLIS = 1_600;

    private static final String DUTY = "assigner";

    /** Number of live hosts that are probed: the one in use and its successor. */
    private static final int KEPT = 2;

    /** Maximum interval between probes of an unresponsive host. */
    private static final long LONGEST_PROBE_MILLIS = 4_000;

    private final HostId self;
    private final Map<HostId, Long> heardAt = new HashMap<>();
    private final Map<HostId, Probing> probing = new HashMap<>();
    private ImmutableList<HostId> ranked;

    private record Probing(long nextAt, long pause) {}

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
        ranked = Rendezvous.rankBySize(DUTY, all);
        heardAt.keySet().retainAll(ranked);
        probing.keySet().retainAll(ranked);
    }

    /** Records a response of a host. */
    public void heard(HostId host, long now) {
        if (ranked.contains(host)) {
            heardAt.put(host, now);
            probing.remove(host);
        }
    }

    /** Records that a host left a request unanswered; it counts as lost until its next response. */
    public void silent(HostId host) {
        heardAt.remove(host);
    }

    /** Returns the host whose assigner to use. */
    public HostId holder(long now) {
        for (HostId host : ranked) {
            if (isAlive(host, now)) {
                return host;
            }
        }
        return self;
    }

    private boolean isAlive(HostId host, long now) {
        Long last = heardAt.get(host);
        return host.equals(self) || (last != null && now - last < TimeUnit.MILLISECONDS.toNanos(SILENCE_MILLIS));
    }

    /** Returns the hosts to probe now. */
    public ImmutableList<HostId> toProbe(long now) {
        ImmutableList.Builder<HostId> due = ImmutableList.builder();
        int live = 0;
        for (HostId host : ranked) {
            if (live == KEPT) {
                break;
            }
            boolean alive = isAlive(host, now);
            live += alive ? 1 : 0;
            if (!host.equals(self) && isDue(host, alive, now)) {
                due.add(host);
            }
        }
        return due.build();
    }

    private boolean isDue(HostId host, boolean alive, long now) {
        if (alive) {
            return true;
        }
        Probing last = probing.get(host);
        if (last != null && now - last.nextAt() < 0) {
            return false;
        }
        long interval = last == null ? PROBE_MILLIS : Math.min(2 * last.pause(), LONGEST_PROBE_MILLIS);
        probing.put(host, new Probing(now + TimeUnit.MILLISECONDS.toNanos(interval), interval));
        return true;
    }
}
