package org.boragebarrow.decision.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The incarnations of targets that have announced that they are leaving. An entry that still says otherwise does not bring them
 * back; the next incarnation of the same target is not concerned.
 *
 * <p>Not thread-safe. Keeps the {@value #MAX_TARGETS} that announced it last.
 */
final class LeavingTargets {
    static final int MAX_TARGETS = 4_096;

    private final Map<TargetIncarnation, Boolean> leaving = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetIncarnation, Boolean> eldest) {
            return size() > MAX_TARGETS;
        }
    };

    /** Records that an incarnation is leaving; returns whether this is new. */
    boolean add(TargetIncarnation target) {
        return leaving.put(checkNotNull(target), true) == null;
    }

    /** Returns whether the incarnation is leaving. */
    boolean contains(TargetIncarnation target) {
        return leaving.containsKey(target);
    }

    /** Returns the entry, as that of a draining target if its incarnation is leaving. */
    FleetTarget apply(FleetTarget entry) {
        return contains(entry.incarnation()) ? entry.asDraining() : entry;
    }

    /**
     * Handles the end of an entry: an incarnation whose start is unknown could not be told from the next one, which may have the
     * same id.
     */
    void onEntryRemoved(TargetIncarnation target) {
        if (target.startedMillis() == 0) {
            leaving.remove(target);
        }
    }
}
