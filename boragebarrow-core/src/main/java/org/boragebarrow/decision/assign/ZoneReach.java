package org.boragebarrow.decision.assign;

import java.util.HashMap;
import java.util.Map;

import org.boragebarrow.model.AvailabilityZoneId;

/**
 * Which zones' targets can be reached from which zones' hosts, as attempts show it.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds.
 *
 * <p>Load pattern: a zone is cut off. Without this each of its targets would cost some requests a connect timeout, again
 * and again, and every long prompt that one of them helps with would stall.
 */
final class ZoneReach {
    /** Failures in a row, over all targets of the zone, that count as a cut: one may be a single dead target. */
    private static final int FAILURE_LIMIT = 2;

    /** The time between probes of a zone that is cut off: a healed cut is noticed within it. */
    private static final long PROBE_NANOS = 1_000_000_000L;

    private final Map<Pair, State> pairs = new HashMap<>();

    private record Pair(AvailabilityZoneId from, AvailabilityZoneId to) {}

    private static final class State {
        private int failures;
        private long probeAt;
    }

    /** Takes the outcome of an attempt into account. */
    void record(AvailabilityZoneId from, AvailabilityZoneId to, Outcome outcome, long now) {
        if (from.equals(to)) {
            return;
        }
        Pair pair = new Pair(from, to);
        if (outcome == Outcome.SUCCEEDED || outcome == Outcome.REFUSED) {
            pairs.remove(pair);
        }
        if (outcome == Outcome.UNREACHABLE || outcome == Outcome.SILENT) {
            State state = pairs.computeIfAbsent(pair, key -> new State());
            state.failures++;
            state.probeAt = now + PROBE_NANOS;
        }
    }

    /** Returns whether work of the first zone may go to targets of the second one. */
    boolean allows(AvailabilityZoneId from, AvailabilityZoneId to, long now) {
        State state = pairs.get(new Pair(from, to));
        return state == null || state.failures < FAILURE_LIMIT || now - state.probeAt >= 0;
    }

    /** Takes note that work was sent; the next probe of a zone that is cut off waits for its outcome. */
    void onSent(AvailabilityZoneId from, AvailabilityZoneId to, long now) {
        State state = pairs.get(new Pair(from, to));
        if (state != null && state.failures >= FAILURE_LIMIT) {
            state.probeAt = now + PROBE_NANOS;
        }
    }
}
