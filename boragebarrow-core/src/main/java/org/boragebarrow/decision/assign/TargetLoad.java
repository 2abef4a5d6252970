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
    private final LinkedHashMap<AttemptId, AttemptPart> parts = new LinkedHashMap<>();
    private FleetTarget target;
    private long advancedAt;

    TargetLoad(FleetTarget target, long now) {
        this.target = target;
        this.advancedAt = now;
    }

    FleetTarget target() {
        return target;
    }

    TargetHealth health() {
        return health;
    }

    /** Replaces the target's fleet entry with a newer one of the same incarnation. */
    void update(FleetTarget entry) {
        target = entry;
    }

    void add(AttemptPart part) {
        parts.put(part.work().id(), part);
    }

    Optional<AttemptPart> find(AttemptId id) {
        return Optional.ofNullable(parts.get(id));
    }

    Optional<AttemptPart> remove(AttemptId id) {
        return Optional.ofNullable(parts.remove(id));
    }

    Collection<AttemptPart> parts() {
        return parts.values();
    }

    /** Returns the number of requests that the target answers, as opposed to helping with. */
    int ownedCount() {
        int owned = 0;
        for (AttemptPart part : parts.values()) {
            owned += part.isHelper() ? 0 : 1;
        }
        return owned;
    }

    /** Returns whether a helper's part may still be in prefill here: one more part would be prefilled before it. */
    boolean hasUnfinishedHelperPart() {
        for (AttemptPart part : parts.values()) {
            if (part.isHelper() && !part.isPrefillFinished()) {
                return true;
            }
        }
        return false;
    }

    int decodingCount() {
        int decoding = 0;
        for (AttemptPart part : parts.values()) {
            decoding += part.isDecoding() ? 1 : 0;
        }
        return decoding;
    }

    long memoryTokens() {
        long tokens = 0;
        for (AttemptPart part : parts.values()) {
            tokens += part.memoryTokens();
        }
        return tokens;
    }

    /**
     * Applies the time since the last call to prefill, in the order of engines: helpers' parts first, the newest of
     * them first.
     */
    void advance(long now, Optional<EngineProfile> profile) {
        double millis = (now - advancedAt) / NANOS_PER_MILLI;
        advancedAt = now;
        if (profile.isEmpty() || millis <= 0) {
            return;
        }
        if (decodingCount() > 0) {
            double passPrefill = passPrefillMillis(profile.get(), 0, 0);
            millis *= passPrefill / (passPrefill + profile.get().decodePassMillis());
        }
        for (AttemptPart part : parts.sequencedValues().reversed()) {
            millis = part.isHelper() ? part.prefill(millis) : millis;
        }
        for (AttemptPart part : parts.values()) {
            millis = part.isHelper() ? millis : part.prefill(millis);
        }
    }

    /** Returns the remaining prefill of all parts, in milliseconds. */
    double prefillBacklogMillis() {
        double millis = 0;
        for (AttemptPart part : parts.values()) {
            millis += part.remainingPrefillMillis();
        }
        return millis;
    }

    /** Returns the remaining prefill of helpers' parts, in milliseconds. */
    double helperPrefillBacklogMillis() {
        double millis = 0;
        for (AttemptPart part : parts.values()) {
            millis += part.isHelper() ? part.remainingPrefillMillis() : 0;
        }
        return millis;
    }

    /**
     * Returns the prefill time of the longest upcoming pass if a prompt part is added, in milliseconds.
     *
     * @param addedTokens the tokens of the added part
     * @param addedMillis the time to prefill them
     */
    double passPrefillMillis(EngineProfile profile, double addedTokens, double addedMillis) {
        double tokens = addedTokens;
        double millis = addedMillis;
        for (AttemptPart part : parts.values()) {
            tokens += part.remainingPrefillTokens();
            millis += part.remainingPrefillMillis();
        }
        double maxTokens = (double) profile.stepsPerPass() * profile.chunkTokens();
        return tokens <= maxTokens ? millis : millis * maxTokens / tokens;
    }
}
