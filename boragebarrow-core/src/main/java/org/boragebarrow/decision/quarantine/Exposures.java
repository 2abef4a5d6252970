package org.boragebarrow.decision.quarantine;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How long targets have held attempts with a part that ended neither in an answer nor in a crash, since the first crash that
 * the part may have caused.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. Keeps the {@value #MAX_PARTS} parts that were suspected last.
 */
final class Exposures {
    static final int MAX_PARTS = 10_000;

    private final Map<PartKey, Exposure> exposures = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<PartKey, Exposure> eldest) {
            return size() > MAX_PARTS;
        }
    };

    private static final class Exposure {
        private final long since;
        private final Map<Phase, Long> nanos = new EnumMap<>(Phase.class);

        Exposure(long since) {
            this.since = since;
        }
    }

    /** Begins to count for a part that may have caused a crash, unless this was done before. */
    void begin(PartKey key, long now) {
        exposures.computeIfAbsent(key, unknown -> new Exposure(now));
    }

    /** Forgets a part on which an answer began at the given time, if the first crash was earlier. */
    void removeIfBegunBefore(PartKey key, long time) {
        Exposure exposure = exposures.get(key);
        if (exposure != null && time - exposure.since > 0) {
            exposures.remove(key);
        }
    }

    /** Adds the time of an attempt that ended. */
    void add(PartKey key, AttemptRecord attempt, long now) {
        Exposure exposure = exposures.get(key);
        if (exposure == null) {
            return;
        }
        for (Phase phase : Phase.values()) {
            exposure.nanos.merge(phase, attempt.nanosIn(phase, exposure.since, now), Long::sum);
        }
    }

    /** Returns the sum of the times. */
    long nanos(PartKey key, Phase phase) {
        Exposure exposure = exposures.get(key);
        return exposure == null ? 0 : exposure.nanos.getOrDefault(phase, 0L);
    }
}
