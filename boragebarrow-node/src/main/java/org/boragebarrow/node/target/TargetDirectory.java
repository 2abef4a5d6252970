package org.boragebarrow.node.target;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/** The targets listed by the platform or the settings. Thread-safe; each result is a snapshot. */
public final class TargetDirectory {
    private final Set<TargetId> unusable = ConcurrentHashMap.newKeySet();

    private volatile ImmutableMap<TargetId, Target> targets;

    /** Creates a directory that holds the targets of the settings until the host list has been read. */
    public TargetDirectory(ImmutableList<Target> configured) {
        this.targets = Maps.uniqueIndex(configured, Target::id);
    }

    /** Replaces all targets. */
    public void replace(ImmutableList<Target> listed) {
        targets = Maps.uniqueIndex(checkNotNull(listed), Target::id);
        unusable.retainAll(targets.keySet());
    }

    /** Returns a target of any zone. */
    public Optional<Target> find(TargetId id) {
        return Optional.ofNullable(targets.get(checkNotNull(id)));
    }

    /** Records whether a target accepts new requests, according to its observers. */
    public void setUsable(TargetId id, boolean usable) {
        if (usable) {
            unusable.remove(checkNotNull(id));
        } else {
            unusable.add(checkNotNull(id));
        }
    }

    /** Returns whether a target is usable: it has not been reported as unusable. */
    public boolean isUsable(TargetId id) {
        return !unusable.contains(checkNotNull(id));
    }

    /** Returns the targets of one zone. */
    public ImmutableList<Target> inZone(AvailabilityZoneId zone) {
        checkNotNull(zone);
        return targets.values().stream()
                .filter(target -> target.zone().equals(zone))
                .collect(ImmutableList.toImmutableList());
    }
}
