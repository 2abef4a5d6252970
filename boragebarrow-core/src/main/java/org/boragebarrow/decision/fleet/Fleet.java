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
 * The targets that can be assigned work.
 *
 * <p>Not thread-safe. Entries that expire during an outage of the table or within {@link #REAPPEAR_GRACE_MILLIS} after
 * it are kept until the end of that time, as their targets may not have renewed them yet. Times are monotonic
 * milliseconds.
 */
public final class Fleet {
    /**
     * Time after an outage of the table within which the entry of a live target reappears; the table's contract
     * guarantees two seconds.
     */
    public static final long REAPPEAR_GRACE_MILLIS = 2_000;

    private final Map<TargetId, FleetTarget> targets = new HashMap<>();
    private final Map<TargetId, Long> unconfirmedUntil = new HashMap<>();
    private final LeavingTargets leaving = new LeavingTargets();
    private final Withdrawals withdrawals = new Withdrawals();
    private ImmutableSet<ServiceName> services = ImmutableSet.of();
    private boolean tableUnavailable;
    private long graceEndsAt = Long.MIN_VALUE;

    /**
     * Adds or replaces the entry of a target. Of two targets at one address, the one that started earlier has ended, though
     * its entry stays until it has missed some heartbeats.
     */
    public void put(FleetTarget target, long now) {
        checkNotNull(target);
        for (FleetTarget other : ImmutableList.copyOf(targets.values())) {
            if (isReplacedBy(target, other)) {
                targets.remove(target.id());
                unconfirmedUntil.remove(target.id());
                withdrawals.onGone(target, now);
                return;
            }
            if (isReplacedBy(other, target)) {
                targets.remove(other.id());
                unconfirmedUntil.remove(other.id());
                withdrawals.onGone(other, now);
            }
        }
        withdrawals.onEntry(target, now);
        targets.put(target.id(), leaving.apply(target));
        unconfirmedUntil.remove(target.id());
    }

    /**
     * Records that an incarnation of a target has announced that it is leaving: it accepts no new work from now on, whatever its
     * entry says now or later. Returns whether this was not known before.
     */
    public boolean recordLeaving(TargetIncarnation incarnation) {
        if (!leaving.add(incarnation)) {
            return false;
        }
        targets.computeIfPresent(incarnation.id(), (id, entry) -> leaving.apply(entry));
        return true;
    }

    /**
     * Sets the services that the configuration names; empty if there is none yet. An entry of another service names no target to
     * use, and takes no other's place. Returns whether the services are others than before.
     */
    public boolean setServices(ImmutableSet<ServiceName> named, long now) {
        if (services.equals(named)) {
            return false;
        }
        services = named;
        ImmutableList.copyOf(targets.values()).forEach(target -> put(target, now));
        return true;
    }

    private boolean isReplacedBy(FleetTarget earlier, FleetTarget later) {
        boolean isNamed = services.isEmpty() || services.contains(later.service());
        return isNamed
                && !earlier.id().equals(later.id())
                && earlier.endpoint().equals(later.endpoint())
                && earlier.startedMillis() > 0
                && earlier.startedMillis() < later.startedMillis();
    }

    /** Handles an entry that was removed or can no longer be decoded. */
    public void remove(TargetId id, long now) {
        if (!targets.containsKey(checkNotNull(id)) || unconfirmedUntil.containsKey(id)) {
            return;
        }
        if (now < graceEndsAt) {
            unconfirmedUntil.put(id, graceEndsAt);
            return;
        }
        drop(id, now);
    }

    private void drop(TargetId id, long now) {
        FleetTarget removed = targets.remove(id);
        if (removed != null) {
            withdrawals.onGone(removed, now);
            leaving.onEntryRemoved(removed.incarnation());
        }
    }

    /** Replaces all entries with the complete content of the table. */
    public void replace(ImmutableList<FleetTarget> read, long now) {
        ImmutableSet<TargetId> present = read.stream().map(FleetTarget::id).collect(ImmutableSet.toImmutableSet());
        for (TargetId id : ImmutableList.copyOf(targets.keySet())) {
            if (!present.contains(id)) {
                remove(id, now);
            }
        }
        read.forEach(target -> put(target, now));
    }

    /**
     * Merges the complete content of the table after it has come back from an older copy. What is known goes before the copy:
     * targets that have left or are draining stay so unless their entry is newer, an earlier incarnation does not take the place of
     * a later one, and targets that the copy lacks have the time in which entries reappear.
     *
     * @return the number of entries that were not believed
     */
    public int restore(ImmutableList<FleetTarget> copy, long now) {
        graceEndsAt = Math.max(graceEndsAt, now + REAPPEAR_GRACE_MILLIS);
        ImmutableList.Builder<FleetTarget> believed = ImmutableList.builder();
        int ignored = 0;
        for (FleetTarget entry : copy) {
            Optional<FleetTarget> judged = judge(entry, now);
            ignored += judged.equals(Optional.of(entry)) ? 0 : 1;
            judged.ifPresent(believed::add);
        }
        replace(believed.build(), now);
        return ignored;
    }

    private Optional<FleetTarget> judge(FleetTarget copied, long now) {
        FleetTarget known = targets.get(copied.id());
        boolean isEarlier = known != null && copied.startedMillis() < known.startedMillis();
        return isEarlier ? Optional.of(known) : withdrawals.judge(copied, now);
    }

    /** Records that the table does not respond. */
    public void onTableUnavailable() {
        tableUnavailable = true;
    }

    /** Records that the table responds. */
    public void onTableAvailable(long now) {
        if (tableUnavailable) {
            tableUnavailable = false;
            graceEndsAt = now + REAPPEAR_GRACE_MILLIS;
        }
    }

    /** Removes the unconfirmed entries whose grace period is over; returns whether any was removed. */
    public boolean expire(long now) {
        boolean removed = false;
        Iterator<Map.Entry<TargetId, Long>> entries =
                unconfirmedUntil.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<TargetId, Long> entry = entries.next();
            if (now < entry.getValue()) {
                continue;
            }
            drop(entry.getKey(), now);
            entries.remove();
            removed = true;
        }
        return removed;
    }

    /** Returns the number of targets that are kept although the table lacks their entries. */
    public int unconfirmedCount() {
        return unconfirmedUntil.size();
    }

    /** Returns whether there are unconfirmed entries, so that {@link #expire} has to be called. */
    public boolean hasUnconfirmed() {
        return !unconfirmedUntil.isEmpty();
    }

    /** Returns the targets of the service that accept new work. */
    public ImmutableList<FleetTarget> usable(ServiceName service) {
        return targets.values().stream()
                .filter(target -> !target.draining() && target.service().equals(service))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns all targets, draining ones included. */
    public ImmutableList<FleetTarget> all() {
        return ImmutableList.copyOf(targets.values());
    }

    /** Returns whether this incarnation of the target accepts new work. */
    public boolean isUsable(FleetTarget target) {
        FleetTarget known = targets.get(target.id());
        return known != null && known.isSameIncarnation(target) && !known.draining();
    }

    /** Returns the targets that have announced that they are leaving and whose entries are still known. */
    public ImmutableList<FleetTarget> leaving() {
        return targets.values().stream()
                .filter(target -> leaving.contains(target.incarnation()))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the target with the id. */
    public Optional<FleetTarget> find(TargetId id) {
        return Optional.ofNullable(targets.get(id));
    }
}
