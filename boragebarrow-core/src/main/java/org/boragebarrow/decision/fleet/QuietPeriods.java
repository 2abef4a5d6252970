package org.boragebarrow.decision.fleet;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import com.google.common.collect.ImmutableMap;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The times in which targets want no requests of this host, as they said when they turned one away. Other hosts are not concerned.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. A period belongs to an incarnation. Keeps the {@value #MAX_TARGETS} periods
 * that began last.
 */
public final class QuietPeriods {
    /** The longest time that is granted; targets that need longer ask again. */
    public static final Duration MAX_TIME = Duration.ofHours(1);

    static final int MAX_TARGETS = 4_096;

    /** Requests that may reach a target in its period; work in progress needs them, to renew or release its memory. */
    private static final int MAX_REQUESTS = 2;

    private final Map<TargetIncarnation, Period> periods = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetIncarnation, Period> eldest) {
            return size() > MAX_TARGETS;
        }
    };

    private record Period(long since, long until, int requests) {
        boolean isOver(long now) {
            return now - until >= 0;
        }
    }

    /**
     * Records that a target wants no requests for a time; a shorter one does not end the current period sooner. Returns whether
     * the target is quiet for longer than before.
     */
    public boolean request(TargetIncarnation target, Duration time, long now) {
        checkArgument(!time.isNegative(), "negative time: %s", time);
        Duration granted = time.compareTo(MAX_TIME) > 0 ? MAX_TIME : time;
        long until = now + granted.toNanos();
        Period current = periods.get(checkNotNull(target));
        boolean running = current != null && !current.isOver(now);
        if (granted.isZero() || (running && until - current.until() <= 0)) {
            return false;
        }
        periods.remove(target);
        periods.put(target, new Period(running ? current.since() : now, until, running ? current.requests() : 0));
        return true;
    }

    /** Returns whether the target wants no requests now. */
    public boolean isQuiet(TargetIncarnation target, long now) {
        Period period = periods.get(target);
        return period != null && !period.isOver(now);
    }

    /**
     * Takes one of the few requests that may reach the target although it is quiet, for work in progress. Returns whether a request
     * may be sent; always if the target is not quiet.
     */
    public boolean tryAcquire(TargetIncarnation target, long now) {
        Period period = periods.get(target);
        if (period == null || period.isOver(now)) {
            return true;
        }
        if (period.requests() >= MAX_REQUESTS) {
            return false;
        }
        periods.replace(target, new Period(period.since(), period.until(), period.requests() + 1));
        return true;
    }

    /** Returns when the target's period began, which later requests for quiet only made longer; now if it is not quiet. */
    public long quietSince(TargetIncarnation target, long now) {
        return isQuiet(target, now) ? periods.get(target).since() : now;
    }

    /** Returns the time that is left of the target's period; zero if it is not quiet. */
    public Duration remaining(TargetIncarnation target, long now) {
        return isQuiet(target, now) ? Duration.ofNanos(periods.get(target).until() - now) : Duration.ZERO;
    }

    /** Returns the targets that are quiet now, with the time that is left. */
    public ImmutableMap<TargetIncarnation, Duration> current(long now) {
        periods.values().removeIf(period -> period.isOver(now));
        ImmutableMap.Builder<TargetIncarnation, Duration> current = ImmutableMap.builder();
        periods.forEach((target, period) -> current.put(target, Duration.ofNanos(period.until() - now)));
        return current.buildOrThrow();
    }
}
