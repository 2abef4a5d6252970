package org.boragebarrow.decision.member;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;

/** Records the highest ended incarnation of each host, so that no ended incarnation is treated as alive again. */
final class EndedIncarnations {
    private final Map<HostId, Entry> entries = new TreeMap<>();
    private long revision;

    /** Returns a number that increases with each change. */
    long revision() {
        return revision;
    }

    /** Records the end of the incarnation and of all earlier ones; returns whether it was not recorded before. */
    boolean add(HostIncarnation incarnation, AvailabilityZoneId zone, long now) {
        if (contains(incarnation)) {
            return false;
        }
        revision++;
        entries.put(incarnation.host(), new Entry(incarnation.number(), zone, now));
        return true;
    }

    boolean contains(HostIncarnation incarnation) {
        Entry entry = entries.get(incarnation.host());
        return entry != null && incarnation.number().compareTo(entry.highest) <= 0;
    }

    /** Returns the highest ended incarnation of the same host; the given one must be contained. */
    HostIncarnation latest(HostIncarnation incarnation) {
        return HostIncarnation.of(incarnation.host(), entries.get(incarnation.host()).highest);
    }

    /** Returns the zone's incarnations that ended within the given time. */
    ImmutableList<HostIncarnation> recent(AvailabilityZoneId zone, Duration within, long now) {
        ImmutableList.Builder<HostIncarnation> recent = ImmutableList.builder();
        entries.forEach((host, entry) -> {
            if (entry.zone.equals(zone) && now - entry.endedNanos <= within.toNanos()) {
                recent.add(HostIncarnation.of(host, entry.highest));
            }
        });
        return recent.build();
    }

    /** Removes the entries that are older than the retention time. */
    void expire(Duration retention, long now) {
        if (entries.values().removeIf(entry -> now - entry.endedNanos > retention.toNanos())) {
            revision++;
        }
    }

    ImmutableMap<HostId, IncarnationNumber> view() {
        return ImmutableMap.copyOf(Maps.transformValues(entries, Entry::highest));
    }

    private record Entry(IncarnationNumber highest, AvailabilityZoneId zone, long endedNanos) {}
}
