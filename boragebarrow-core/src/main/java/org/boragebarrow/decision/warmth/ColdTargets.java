package org.boragebarrow.decision.warmth;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.Comparators;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.decision.routing.ColdStart;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The targets that are cold, or were until just now, and when each may get its next request.
 *
 * <p>A target is cold after its start, for as long as its service's configuration says, and while its entry says so; the later
 * end counts. While it is cold, its requests are spaced evenly, so that no second has more than it bears; then the pace grows
 * until it needs no limit. Only the assigner's share of the pace is dealt out, see {@link PaceShares}.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. Memory is bounded by the number of targets.
 */
public final class ColdTargets {
    /** The longest time for which an entry is believed to say that its target is cold; it may say so again. */
    public static final Duration MAX_REPORTED = Duration.ofMinutes(10);

    /**
     * Fraction of the pace that is dealt out. The rest is for requests that arrive closer together than they were sent, and for
     * the time in which two assigners serve the same hosts.
     */
    private static final double DEALT_FRACTION = 0.7;

    /** Time after the end of the cold for which the pace grows. */
    private static final long RAMP_NANOS = Duration.ofSeconds(3).toNanos();

    /** Factor by which the pace has grown at the end of the ramp: from a few requests a second to any number of slots. */
    private static final double RAMP_FACTOR = 32;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<TargetId, Pace> paces = new HashMap<>();
    private ImmutableMap<ServiceName, ColdStart> coldStarts = ImmutableMap.of();
    private PaceShares shares = PaceShares.NONE;

    /** What is known of one cold target. */
    private static final class Pace {
        private final TargetIncarnation incarnation;
        private final long createdAt;
        private Optional<Long> startedAt = Optional.empty();
        private Optional<Long> reportedUntil = Optional.empty();
        private Optional<Double> share = Optional.empty();
        private boolean takenBack;
        private long nextAt;

        Pace(TargetIncarnation incarnation, long now) {
            this.incarnation = incarnation;
            this.createdAt = now;
            this.nextAt = now;
        }
    }

    /** Sets what cold targets bear; those of services that are not contained bear as much as later. */
    public void setColdStarts(ImmutableMap<ServiceName, ColdStart> starts) {
        coldStarts = checkNotNull(starts);
        forgetShares();
    }

    /**
     * Sets the hosts that share the pace. Nothing is dealt out to cold targets before.
     *
     * @param registered all hosts
     * @param served the hosts whose work is assigned here
     */
    public void setHosts(ImmutableSet<HostId> registered, ImmutableSet<HostId> served) {
        shares = PaceShares.of(registered, served);
        forgetShares();
    }

    private void forgetShares() {
        paces.values().forEach(pace -> pace.share = Optional.empty());
    }

    /** Records that a target has just started, or may have done so. */
    public void recordStart(TargetIncarnation target, long now) {
        paceOf(target, now).startedAt = Optional.of(now);
    }

    /** Records that a target may be used again after a time without work: it may be cold, and gets work by a ramp in any case. */
    public void recordTakenBack(TargetIncarnation target, long now) {
        Pace pace = paceOf(target, now);
        pace.startedAt = Optional.of(now);
        pace.takenBack = true;
    }

    /**
     * Records for how much longer a target is cold by its own word.
     *
     * @param left zero or less if it is not; empty if its word cannot be used: it counts as just started
     */
    public void recordReport(TargetIncarnation target, Optional<Duration> left, long now) {
        if (left.isEmpty()) {
            recordStart(target, now);
            return;
        }
        if (left.get().isZero() || left.get().isNegative()) {
            return;
        }
        Pace pace = paceOf(target, now);
        long until = now + Comparators.min(left.get(), MAX_REPORTED).toNanos();
        pace.reportedUntil =
                Optional.of(pace.reportedUntil.map(known -> later(known, until)).orElse(until));
    }

    private Pace paceOf(TargetIncarnation target, long now) {
        Pace known = paces.get(target.id());
        if (known != null && known.incarnation.equals(target)) {
            return known;
        }
        Pace pace = new Pace(target, now);
        paces.put(target.id(), pace);
        return pace;
    }

    /** Forgets a target that is gone. */
    public void forget(TargetId target) {
        paces.remove(target);
    }

    /** Returns whether no target is limited, as far as is known without looking at each. */
    public boolean isEmpty() {
        return paces.isEmpty();
    }

    /** Returns whether the target is cold or was a short time ago, so that its requests are limited. */
    public boolean isLimited(FleetTarget target, long now) {
        return find(target, now).isPresent();
    }

    /** Returns the time until the target may get one more request; zero if it may now. */
    public Duration wait(FleetTarget target, long now) {
        Optional<Pace> found = find(target, now);
        if (found.isEmpty()) {
            return Duration.ZERO;
        }
        Pace pace = found.get();
        long end = coldEnd(pace, target);
        boolean hasNoShare = end - now > 0 && share(pace, target) == 0;
        return Duration.ofNanos(Math.max(0, (hasNoShare ? end : pace.nextAt) - now));
    }

    /** Records that the target gets a request. */
    public void take(FleetTarget target, long now) {
        Optional<Pace> found = find(target, now);
        if (found.isEmpty()) {
            return;
        }
        Pace pace = found.get();
        double rate = rate(pace, target, now);
        if (rate > 0) {
            pace.nextAt = now + (long) (NANOS_PER_SECOND / rate);
        }
    }

    /** Returns the requests a second that are dealt out now. */
    private double rate(Pace pace, FleetTarget target, long now) {
        long since = now - coldEnd(pace, target);
        double share = share(pace, target);
        if (since <= 0) {
            return share;
        }
        double base = Math.max(share, DEALT_FRACTION * bearable(target));
        return base * Math.pow(RAMP_FACTOR, (double) since / RAMP_NANOS);
    }

    private double share(Pace pace, FleetTarget target) {
        if (pace.share.isEmpty()) {
            pace.share = Optional.of(shares.dealt(target.id(), DEALT_FRACTION * bearable(target)));
        }
        return pace.share.get();
    }

    /** Returns the requests a second that the target bears while it is cold, of all hosts together. */
    private double bearable(FleetTarget target) {
        ColdStart start = coldStarts.get(target.service());
        return start == null ? Math.max(1, target.slots()) : start.requestsPerSecond();
    }

    private long coldEnd(Pace pace, FleetTarget target) {
        Optional<ColdStart> cold = Optional.ofNullable(coldStarts.get(target.service()));
        long duration = cold.map(start -> start.duration().toNanos()).orElse(0L);
        long end = pace.startedAt.map(at -> at + duration).orElse(pace.createdAt);
        return cold.isEmpty()
                ? end
                : pace.reportedUntil.map(until -> later(end, until)).orElse(end);
    }

    private static long later(long first, long second) {
        return first - second > 0 ? first : second;
    }

    /** Returns the pace of the target, unless it needs none; one that needs none any more is forgotten. */
    private Optional<Pace> find(FleetTarget target, long now) {
        if (paces.isEmpty()) {
            return Optional.empty();
        }
        Pace pace = paces.get(target.id());
        if (pace == null || !pace.incarnation.equals(target.incarnation())) {
            return Optional.empty();
        }
        if (now - coldEnd(pace, target) >= RAMP_NANOS) {
            paces.remove(target.id());
            return Optional.empty();
        }
        boolean isLimited = pace.takenBack || coldStarts.containsKey(target.service());
        return isLimited ? Optional.of(pace) : Optional.empty();
    }
}
