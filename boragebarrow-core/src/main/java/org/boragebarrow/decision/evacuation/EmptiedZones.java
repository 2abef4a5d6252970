package org.boragebarrow.decision.evacuation;

import java.util.LinkedHashMap;
import java.util.Map;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.boragebarrow.model.AvailabilityZoneId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The zones that operators have emptied, as far as this host knows.
 *
 * <p>Not thread-safe. Times are monotonic nanoseconds. What is known stays known until the table shows otherwise: neither an
 * outage of the table nor a lost history takes a zone back, nor an older copy from which the table has come back.
 */
public final class EmptiedZones {
    private final Map<AvailabilityZoneId, Long> emptiedSince = new LinkedHashMap<>();

    /** What a change did: the zones that were emptied and those that were taken back. */
    public record Change(ImmutableSet<AvailabilityZoneId> emptied, ImmutableSet<AvailabilityZoneId> takenBack) {
        /** Returns whether no zone is concerned. */
        public boolean isEmpty() {
            return emptied.isEmpty() && takenBack.isEmpty();
        }
    }

    /** Records that a zone is emptied; one that already is keeps its time. */
    public Change empty(AvailabilityZoneId zone, long now) {
        return replace(Sets.union(zones(), ImmutableSet.of(zone)), now);
    }

    /** Records that a zone is taken back. */
    public Change takeBack(AvailabilityZoneId zone, long now) {
        return replace(Sets.difference(zones(), ImmutableSet.of(zone)), now);
    }

    /** Replaces all emptied zones by those that a full read of the table shows. */
    public Change replace(Iterable<AvailabilityZoneId> zones, long now) {
        ImmutableSet<AvailabilityZoneId> wanted = ImmutableSet.copyOf(zones);
        ImmutableSet<AvailabilityZoneId> known = zones();
        Change change = new Change(
                Sets.difference(wanted, known).immutableCopy(),
                Sets.difference(known, wanted).immutableCopy());
        emptiedSince.keySet().removeAll(change.takenBack());
        change.emptied().forEach(zone -> emptiedSince.put(zone, now));
        return change;
    }

    /** Adds the zones that an older copy of the table shows; those that are emptied stay so until they are taken back again. */
    public Change restore(Iterable<AvailabilityZoneId> zones, long now) {
        return replace(Sets.union(zones(), ImmutableSet.copyOf(zones)), now);
    }

    /** Returns whether the zone is emptied. */
    public boolean contains(AvailabilityZoneId zone) {
        return emptiedSince.containsKey(checkNotNull(zone));
    }

    /** Returns the emptied zones. */
    public ImmutableSet<AvailabilityZoneId> zones() {
        return ImmutableSet.copyOf(emptiedSince.keySet());
    }

    /** Returns the emptied zones with the time since which this host knows it of each. */
    public ImmutableMap<AvailabilityZoneId, Long> since() {
        return ImmutableMap.copyOf(emptiedSince);
    }
}
