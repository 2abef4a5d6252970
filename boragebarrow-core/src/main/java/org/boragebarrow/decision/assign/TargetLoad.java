package org.boragebarrow.decision.assign;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Optional;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;

/** All work assigned to one target. Not thread-safe. */
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

    /** Replaces the target's fleet entry by a newer one of the same incarnation. */
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

    /** Returns the number of requests that the target answers, as opposed to helping with. */
    int owned() {
        int owned = 0;
        for (HeldWork part : held.values()) {
            owned += part.isHelper() ? 0 : 1;
        }
        return owned;
    }

    /** Returns whether a helper's part may still be in prefill here: one more part would be prefilled before it. */
    boolean helpsUnfinished() {
        for (HeldWork part : held.values()) {
            if (part.isHelper() && !part.isFinished()) {
                return true;
            }
        }
        return false;
    }

    int writers() {
        int decoding = 0;
        for (HeldWork part : held.values()) {
            decoding += part.isWriting() ? 1 : 0;
        }
        return decoding;
    }

    long memoryTokens() {
        long tokens = 0;
        for (HeldWork part : held.values()) {
            tokens += part.memoryTokens();
        }
        return tokens;
    }

    /**
     * Applies the time since the last call to prefill, in the order of engines: helpers' parts first, the newest of
     * them first.
     */
    void advance(long now, Optional<EngineProfile> profile) {
        double millis = (now - readUntil) / NANOS_PER_MILLI;
        readUntil = now;
        if (profile.isEmpty() || millis <= 0) {
            return;
        }
        if (writers() > 0) {
            double passPrefill = passReadMillis(profile.get(), 0, 0);
            millis *= passPrefill / (passPrefill + profile.get().passMillis());
        }
        for (HeldWork part : held.sequencedValues().reversed()) {
            millis = part.isHelper() ? part.read(millis) : millis;
        }
        for (HeldWork part : held.values()) {
            millis = part.isHelper() ? millis : part.read(millis);
        }
    }

    /** Returns the remaining prefill of all parts, in milliseconds. */
    double backlogMillis() {
        double millis = 0;
        for (HeldWork part : held.values()) {
            millis += part.readLeft();
        }
        return millis;
    }

    /** Returns the remaining prefill of helpers' parts, in milliseconds. */
    double helperBacklogMillis() {
        double millis = 0;
        for (HeldWork part : held.values()) {
            millis += part.isHelper() ? part.readLeft() : 0;
        }
        return millis;
    }

    /**
     * Returns the prefill time of the fullest pass to come if a prompt part is added, in milliseconds.
     *
     * @param addedTokens the tokens of the added part
     * @param addedMillis the time to prefill them
     */
    double passReadMillis(EngineProfile profile, double addedTokens, double addedMillis) {
        double tokens = addedTokens;
        double millis = addedMillis;
        for (HeldWork part : held.values()) {
            tokens += part.tokensLeft();
            millis += part.readLeft();
        }
        double maxTokens = (double) profile.stride() * profile.chunkTokens();
        return tokens <= maxTokens ? millis : millis * maxTokens / tokens;
    }
}
