package org.boragebarrow.decision.member;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;
import org.boragebarrow.model.Incarnation;

/** Remembers the highest ended incarnation of each host, so that no ended life is taken for alive again. */
final class EndedLives {
    private final Map<HostId, Entry> entries = new TreeMap<>();
    private long revision;

    /** Returns a number that grows with each change. */
    long revision() {
        return revision;
    }

    /** Records the end of the life and returns whether that is news. */
    boolean add(HostLife life, AvailabilityZoneId zone, long now) {
        if (contains(life)) {
            return false;
        }
        revision++;
        entries.put(life.host(), new Entry(life.incarnation(), zone, now));
        return true;
    }

    boolean contains(HostLife life) {
        Entry entry = entries.get(life.host());
        return entry != null && life.incarnation().compareTo(entry.last) <= 0;
    }

    /** Returns the highest ended life of the same host; the given life must be contained. */
    HostLife latest(HostLife life) {
        return HostLife.of(life.host(), entries.get(life.host()).last);
    }

    /** Returns the zone's lives that ended within the given time. */
    ImmutableList<HostLife> recent(AvailabilityZoneId zone, Duration within, long now) {
        ImmutableList.Builder<HostLife> recent = ImmutableList.builder();
        entries.forEach((host, entry) -> {
            if (entry.zone.equals(zone) && now - entry.sinceNanos <= within.toNanos()) {
                recent.add(HostLife.of(host, entry.last));
            }
        });
        return recent.build();
    }

    void expire(Duration retention, long now) {
        if (entries.values().removeIf(entry -> now - entry.sinceNanos > retention.toNanos())) {
            revision++;
        }
    }

    ImmutableMap<HostId, Incarnation> view() {
        return ImmutableMap.copyOf(Maps.transformValues(entries, Entry::last));
    }

    private record Entry(Incarnation last, AvailabilityZoneId zone, long sinceNanos) {}
}
