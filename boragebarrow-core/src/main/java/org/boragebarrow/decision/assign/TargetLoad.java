package org.boragebarrow.decision.assign;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Optional;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;

/** All work of one target. Not thread-safe. */
final class TargetLoad {
    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetHealth health = new TargetHealth();
    private final LinkedHashMap<AttemptId, HeldWork> held = new LinkedHashMap<>();
    private FleetTarget target;
    private long readUntil;

    TargetLoad(FleetTarget target, long now) {
        this.target = target;
        this.readUntil = now;
    }

    FleetTarget target() {
        return target;
    }

    TargetHealth health() {
        return health;
    }

    /** Takes over the target's newest entry of the same life. */
    void update(FleetTarget entry) {
        target = entry;
    }

    void add(HeldWork part) {
        held.put(part.work().id(), part);
    }

    Optional<HeldWork> find(AttemptId id) {
        return Optional.ofNullable(held.get(id));
    }

    Optional<HeldWork> remove(AttemptId id) {
        return Optional.ofNullable(held.remove(id));
    }

    Collection<HeldWork> held() {
        return held.values();
    }

    /** Returns the requests that the target itself answers. */
    int owned() {
        int owned = 0;
        for (HeldWork part : held.values()) {
            owned += part.isHelper() ? 0 : 1;
        }
        return owned;
    }

    /** Returns whether a part of another target's prompt may still be read here: one more would go ahead of it. */
    boolean helpsUnfinished() {
        for (HeldWork part : held.values()) {
            if (part.isHelper() && !part.isFinished()) {
                return true;
            }
        }
        return false;
    }

    int writers() {
        int writers = 0;
        for (HeldWork part : held.values()) {
            writers += part.isWriting() ? 1 : 0;
        }
        return writers;
    }

    long memoryTokens() {
        long tokens = 0;
        for (HeldWork part : held.values()) {
            tokens += part.memoryTokens();
        }
        return tokens;
    }

    /** Lets the time since the last call go into reading: helpers' parts first, the newest before all, as engines do. */
    void advance(long now, Optional<EngineProfile> profile) {
        double millis = (now - readUntil) / NANOS_PER_MILLI;
        readUntil = now;
        if (profile.isEmpty() || millis <= 0) {
            return;
        }
        if (writers() > 0) {
            double passRead = passReadMillis(profile.get(), 0, 0);
            millis *= passRead / (passRead + profile.get().passMillis());
        }
        for (HeldWork part : held.sequencedValues().reversed()) {
            millis = part.isHelper() ? part.read(millis) : millis;
        }
        for (HeldWork part : held.values()) {
            millis = part.isHelper() ? millis : part.read(millis);
        }
    }

    /** Returns the reading that is left, in milliseconds. */
    double backlogMillis() {
        double millis = 0;
        for (HeldWork part : held.values()) {
            millis += part.readLeft();
        }
        return millis;
    }

    /** Returns the reading that is left of helpers' parts, in milliseconds. */
    double helperBacklogMillis() {
        double millis = 0;
        for (HeldWork part : held.values()) {
            millis += part.isHelper() ? part.readLeft() : 0;
        }
        return millis;
    }

    /**
     * Returns the reading of the fullest pass ahead if some more is added, in milliseconds.
     *
     * @param moreTokens the added tokens
     * @param moreMillis the time that reading them takes
     */
    double passReadMillis(EngineProfile profile, double moreTokens, double moreMillis) {
        double tokens = moreTokens;
        double millis = moreMillis;
        for (HeldWork part : held.values()) {
            tokens += part.tokensLeft();
            millis += part.readLeft();
        }
        double most = (double) profile.stride() * profile.chunkTokens();
        return tokens <= most ? millis : millis * most / tokens;
    }
}
