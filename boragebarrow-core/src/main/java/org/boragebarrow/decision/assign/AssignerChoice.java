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
 * Finds the host whose assigner this host asks: the first one in an order that all hosts share, largest hosts first, of
 * which it has heard.
 *
 * <p>Not thread-safe. Hosts with different views ask different assigners for a while, which costs efficiency only. Only
 * the hosts ranked above the second live one are probed, so a large fleet costs each host two probes a round.
 *
 * <p>Load pattern: the assigner dies, freezes or is cut off while requests keep coming.
 */
public final class AssignerChoice {
    /** The time between two probes of a live host. */
    public static final long PROBE_MILLIS = 700;

    /** Silence after which a host counts as gone: two probes and the way back. */
    public static final long SILENCE_MILLIS = 1_600;

    private static final String DUTY = "assigner";

    /** Live hosts that are kept in touch with: the one in use and the next. */
    private static final int KEPT = 2;

    /** The longest pause between probes of a host that does not answer. */
    private static final long LONGEST_PROBE_MILLIS = 4_000;

    private final HostId self;
    private final Map<HostId, Long> heardAt = new HashMap<>();
    private final Map<HostId, Probing> probing = new HashMap<>();
    private ImmutableList<HostId> ranked;

    private record Probing(long nextAt, long pause) {}

    /** Creates a choice that knows no other host. */
    public AssignerChoice(HostId self) {
        this.self = checkNotNull(self);
        this.ranked = ImmutableList.of(self);
    }

    /** Sets the hosts that may be there, this one or not among them. */
    public void setHosts(Collection<SizedHost> hosts) {
        ImmutableList<SizedHost> all = ImmutableList.<SizedHost>builder()
                .add(new SizedHost(self, 0))
                .addAll(hosts)
                .build();
        ranked = Rendezvous.rankBySize(DUTY, all);
        heardAt.keySet().retainAll(ranked);
        probing.keySet().retainAll(ranked);
    }

    /** Takes note that a host answered. */
    public void heard(HostId host, long now) {
        if (ranked.contains(host)) {
            heardAt.put(host, now);
            probing.remove(host);
        }
    }

    /** Takes note that a host left a question unanswered. */
    public void silent(HostId host) {
        heardAt.remove(host);
    }

    /** Returns the host to ask. */
    public HostId holder(long now) {
        for (HostId host : ranked) {
            if (isAlive(host, now)) {
                return host;
            }
        }
        return self;
    }

    private boolean isAlive(HostId host, long now) {
        Long heard = heardAt.get(host);
        return host.equals(self) || (heard != null && now - heard < TimeUnit.MILLISECONDS.toNanos(SILENCE_MILLIS));
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
        long pause = last == null ? PROBE_MILLIS : Math.min(2 * last.pause(), LONGEST_PROBE_MILLIS);
        probing.put(host, new Probing(now + TimeUnit.MILLISECONDS.toNanos(pause), pause));
        return true;
    }
}
