package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.fleet.TargetIncarnation;
import org.boragebarrow.model.HostId;

/**
 * The pairs of hosts and targets between which no requests are wanted for some time. After it, a target gets a host's work back
 * little by little.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. Keeps {@value #MAX_TARGETS_PER_HOST} targets of each of {@value #MAX_HOSTS}
 * hosts, those reported last; a host refuses the assignments that a forgotten pair would have prevented.
 *
 * <p>Load pattern: targets turn a burst away, and all that waited meanwhile is due when their time ends.
 */
final class QuietPairs {
    static final int MAX_HOSTS = 1_000;
    static final int MAX_TARGETS_PER_HOST = 256;

    /** Time after the end of a period in which one more request of the host may be at the target. */
    private static final long RAMP_STEP_NANOS = Duration.ofMillis(250).toNanos();

    /** Time after the end of a period for which the requests of the host at the target are limited. */
    private static final long RAMP_NANOS = Duration.ofSeconds(3).toNanos();

    private final Map<HostId, Map<TargetIncarnation, Long>> endsByHost = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<HostId, Map<TargetIncarnation, Long>> eldest) {
            return size() > MAX_HOSTS;
        }
    };

    /** Records that a target wants no requests of a host for a time; a shorter one does not end an earlier one sooner. */
    void report(HostId host, TargetIncarnation target, Duration time, long now) {
        Map<TargetIncarnation, Long> ends = endsByHost.computeIfAbsent(host, unknown -> new HashMap<>());
        ends.values().removeIf(end -> now - end >= RAMP_NANOS);
        if (ends.size() < MAX_TARGETS_PER_HOST || ends.containsKey(target)) {
            ends.merge(target, now + time.toNanos(), (known, end) -> known - end > 0 ? known : end);
        }
    }

    /** Forgets the pairs of a host that has ended. */
    void removeHost(HostId host) {
        endsByHost.remove(host);
    }

    /** Returns whether there may be targets that want no requests of the host. */
    boolean concerns(HostId host) {
        return endsByHost.containsKey(host);
    }

    /** Returns the time for which the target wants no requests of the host; zero if it accepts some. */
    Duration remaining(HostId host, FleetTarget target, long now) {
        Map<TargetIncarnation, Long> ends = endsByHost.get(host);
        Long end = ends == null ? null : ends.get(target.incarnation());
        return end == null || end - now <= 0 ? Duration.ZERO : Duration.ofNanos(end - now);
    }

    /** Returns whether the target may get one more request of the host. */
    boolean allows(HostId host, TargetLoad load, long now) {
        Map<TargetIncarnation, Long> ends = endsByHost.get(host);
        Long end = ends == null ? null : ends.get(load.target().incarnation());
        if (end == null) {
            return true;
        }
        long since = now - end;
        if (since < RAMP_NANOS) {
            return since >= 0 && load.ownedCount(host) <= since / RAMP_STEP_NANOS;
        }
        ends.remove(load.target().incarnation());
        if (ends.isEmpty()) {
            endsByHost.remove(host);
        }
        return true;
    }
}
