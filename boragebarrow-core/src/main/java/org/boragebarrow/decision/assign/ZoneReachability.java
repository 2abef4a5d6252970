package org.boragebarrow.decision.assign;

import java.util.HashMap;
import java.util.Map;

import org.boragebarrow.model.AvailabilityZoneId;

/**
 * Tracks from which zones' hosts which zones' targets are reachable, derived from the outcomes of attempts.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 *
 * <p>Load pattern: a zone is partitioned. Without this class each of its targets would repeatedly cost some requests a
 * connect timeout, and every long prompt that one of them helps with would stall.
 */
final class ZoneReachability {
    /**
     * Consecutive failures, over all targets of the zone, that indicate a partition: one may be due to a single failed
     * target.
     */
    private static final int FAILURE_LIMIT = 2;

    /** Interval between probes of an unreachable zone; the end of a partition is detected within it. */
    private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

    private final Map<ZonePair, State> states = new HashMap<>();

    private record ZonePair(AvailabilityZoneId from, AvailabilityZoneId to) {}

    private static final class State {
        private int failures;
        private long probeAt;
    }

    /** Records the outcome of an attempt. */
    void record(AvailabilityZoneId from, AvailabilityZoneId to, Outcome outcome, long now) {
        if (from.equals(to)) {
            return;
        }
        ZonePair pair = new ZonePair(from, to);
        if (outcome == Outcome.SUCCEEDED || outcome == Outcome.REFUSED || outcome == Outcome.REPLACED) {
            states.remove(pair);
        }
        if (outcome == Outcome.UNREACHABLE || outcome == Outcome.SILENT) {
            State state = states.computeIfAbsent(pair, key -> new State());
            state.failures++;
            state.probeAt = now + PROBE_INTERVAL_NANOS;
        }
    }

    /** Returns whether work of the first zone may be assigned to targets of the second one. */
    boolean allows(AvailabilityZoneId from, AvailabilityZoneId to, long now) {
        State state = states.get(new ZonePair(from, to));
        return state == null || state.failures < FAILURE_LIMIT || now - state.probeAt >= 0;
    }

    /**
     * Records that work was sent; in an unreachable zone this is the probe, and the next one is a probe interval later.
     */
    void onSent(AvailabilityZoneId from, AvailabilityZoneId to, long now) {
        State state = states.get(new ZonePair(from, to));
        if (state != null && state.failures >= FAILURE_LIMIT) {
            state.probeAt = now + PROBE_INTERVAL_NANOS;
        }
    }
}
