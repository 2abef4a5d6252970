package org.boragebarrow.decision.fleet;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The targets that may be given work.
 *
 * <p>Not thread-safe. Entries that vanish while the table is away, or shortly after it came back, are kept for a while:
 * their targets may just not have renewed them yet. Times are monotonic milliseconds.
 */
public final class Fleet {
    /** How long after the table's return a live target may take to show again: two seconds by the table's contract. */
    public static final long REAPPEAR_MILLIS = 2_000;

    private final Map<TargetId, FleetTarget> targets = new HashMap<>();
    private final Map<TargetId, Long> doubtfulUntil = new HashMap<>();
    private boolean tableAway;
    private long settledAt = Long.MIN_VALUE;

    /** Takes over an entry that was written. */
    public void put(FleetTarget target) {
        checkNotNull(target);
        targets.put(target.id(), target);
        doubtfulUntil.remove(target.id());
    }

    /** Takes note that an entry is no longer there, or can no longer be read. */
    public void remove(TargetId id, long now) {
        if (!targets.containsKey(checkNotNull(id)) || doubtfulUntil.containsKey(id)) {
            return;
        }
        if (now < settledAt) {
            doubtfulUntil.put(id, settledAt);
            return;
        }
        targets.remove(id);
    }

    /** Takes over a full reading of the table. */
    public void replace(ImmutableList<FleetTarget> read, long now) {
        ImmutableSet<TargetId> present = read.stream().map(FleetTarget::id).collect(ImmutableSet.toImmutableSet());
        for (TargetId id : ImmutableList.copyOf(targets.keySet())) {
            if (!present.contains(id)) {
                remove(id, now);
            }
        }
        read.forEach(this::put);
    }

    /** Takes note that the table does not answer. */
    public void tableLost() {
        tableAway = true;
    }

    /** Takes note that the table answers. */
    public void tableAnswered(long now) {
        if (tableAway) {
            tableAway = false;
            settledAt = now + REAPPEAR_MILLIS;
        }
    }

    /** Drops the doubtful entries whose time is over; returns whether any was dropped. */
    public boolean expire(long now) {
        boolean dropped = false;
        Iterator<Map.Entry<TargetId, Long>> entries = doubtfulUntil.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<TargetId, Long> entry = entries.next();
            if (now < entry.getValue()) {
                continue;
            }
            targets.remove(entry.getKey());
            entries.remove();
            dropped = true;
        }
        return dropped;
    }

    /** Returns whether entries wait for {@link #expire}. */
    public boolean hasDoubtful() {
        return !doubtfulUntil.isEmpty();
    }

    /** Returns the targets of the service that take new work. */
    public ImmutableList<FleetTarget> usable(ServiceName service) {
        return targets.values().stream()
                .filter(target -> !target.draining() && target.service().equals(service))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns all targets, draining ones included. */
    public ImmutableList<FleetTarget> all() {
        return ImmutableList.copyOf(targets.values());
    }

    /** Returns whether this very life of the target may be given work now. */
    public boolean isUsable(FleetTarget target) {
        FleetTarget known = targets.get(target.id());
        return known != null && known.isSameLife(target) && !known.draining();
    }

    /** Returns the target with the id. */
    public Optional<FleetTarget> find(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }
}
