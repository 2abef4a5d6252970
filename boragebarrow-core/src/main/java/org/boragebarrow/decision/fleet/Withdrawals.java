package org.boragebarrow.decision.fleet;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the entries of targets that accept no new work said last, for the time in which the table may come back from an older copy,
 * where these entries stand as they were before.
 *
 * <p>Not thread-safe. Keeps the {@value #MAX_TARGETS} last ones, each for {@link #RETENTION}. Times are monotonic milliseconds.
 */
final class Withdrawals {
    static final int MAX_TARGETS = 4_096;

    /** Much longer than a copy is old. */
    static final Duration RETENTION = Duration.ofMinutes(5);

    private final Map<TargetIncarnation, Withdrawal> withdrawals = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetIncarnation, Withdrawal> eldest) {
            return size() > MAX_TARGETS;
        }
    };

    /**
     * The end of a target's work.
     *
     * @param gone whether its entry was removed, as opposed to one that says that it is draining
     * @param sequence the number of its last entry
     * @param at when it was noticed
     */
    private record Withdrawal(boolean gone, long sequence, long at) {}

    /** Records an entry as it was read; one that accepts work ends an earlier withdrawal. */
    void onEntry(FleetTarget entry, long now) {
        withdrawals.remove(entry.incarnation());
        if (entry.draining()) {
            withdrawals.put(entry.incarnation(), new Withdrawal(false, entry.sequence(), now));
        }
    }

    /** Records that an entry is gone. */
    void onGone(FleetTarget last, long now) {
        withdrawals.remove(last.incarnation());
        withdrawals.put(last.incarnation(), new Withdrawal(true, last.sequence(), now));
    }

    /** Returns what an entry of an older copy stands for: itself if it is newer than what is known, a draining target, or none. */
    Optional<FleetTarget> judge(FleetTarget copied, long now) {
        Withdrawal known = withdrawals.get(copied.incarnation());
        boolean isUnknown = known == null || now - known.at() > RETENTION.toMillis();
        if (isUnknown || copied.sequence() > known.sequence()) {
            return Optional.of(copied);
        }
        return known.gone() ? Optional.empty() : Optional.of(copied.asDraining());
    }
}
