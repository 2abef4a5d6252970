package org.boragebarrow.decision.assign;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Optional;

import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.pace.TargetPace;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;

/** All work assigned to one target. Not thread-safe. */
final class TargetLoad {
    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetHealth health = new TargetHealth();
    private final TargetPace pace = new TargetPace();
    private final LinkedHashMap<AttemptId, AttemptPart> parts = new LinkedHashMap<>();
    private FleetTarget target;
    private final Totals totals = new Totals();
    private boolean totalsStale = true;
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

    TargetPace pace() {
        return pace;
    }

    /** Returns how many times longer than usual the target takes, as of the last call of {@link #advance}. */
    double slowness() {
        return pace.slowness(advancedAt);
    }

    /** Returns whether an answer of the target has not begun although it is later than nearly all such answers. */
    boolean hasLateAnswer(long now) {
        return parts.values().stream().anyMatch(part -> part.isLate(now));
    }

    /** Replaces the target's fleet entry with a newer one of the same incarnation. */
    void update(FleetTarget entry) {
        target = entry;
    }

    void add(AttemptPart part) {
        parts.put(part.work().id(), part);
        totalsStale = true;
    }

    Optional<AttemptPart> remove(AttemptId id) {
        totalsStale = true;
        return Optional.ofNullable(parts.remove(id));
    }

    /**
     * Records that all parts of an attempt were prefilled: the answering target decodes; a helper keeps its part only
     * if it stores tokens.
     */
    void onPrefilled(AttemptId id) {
        AttemptPart part = parts.get(id);
        if (part == null) {
            return;
        }
        totalsStale = true;
        if (!part.isHelper()) {
            part.startDecoding();
        } else if (part.memoryTokens() > 0) {
            part.finishPrefill();
        } else {
            parts.remove(id);
        }
    }

    Optional<AttemptPart> find(AttemptId id) {
        return Optional.ofNullable(parts.get(id));
    }

    Collection<AttemptPart> parts() {
        return parts.values();
    }

    boolean isIdle() {
        return parts.isEmpty();
    }

    /** Returns the number of requests that the target answers, as opposed to helping with. */
    int ownedCount() {
        return totals().owned;
    }

    /** Returns the number of requests of a host that the target answers. */
    long ownedCount(HostId host) {
        return parts.values().stream()
                .filter(part ->
                        !part.isHelper() && part.work().id().owner().host().equals(host))
                .count();
    }

    /** Returns whether a helper's part may still be in prefill here: one more part would be prefilled before it. */
    boolean hasUnfinishedHelperPart() {
        return totals().unfinishedHelpers > 0;
    }

    int decodingCount() {
        return totals().decoding;
    }

    long memoryTokens() {
        return totals().memoryTokens;
    }

    /** Returns whether an engine has planned memory left for an answer of ordinary length. */
    boolean hasMemoryForAnswer(EngineProfile profile) {
        return Placement.plannedCapacityTokens(profile) - memoryTokens() >= profile.meanAnswerTokens();
    }

    private Totals totals() {
        if (totalsStale) {
            totals.set(parts.values());
            totalsStale = false;
        }
        return totals;
    }

    /** Sums over the parts, so that a decision that reads them often adds them up once. */
    private static final class Totals {
        private int owned;
        private int decoding;
        private int unfinishedHelpers;
        private long memoryTokens;
        private double prefillTokens;
        private double prefillMillis;
        private double helperPrefillMillis;

        void set(Collection<AttemptPart> parts) {
            owned = 0;
            decoding = 0;
            unfinishedHelpers = 0;
            memoryTokens = 0;
            prefillTokens = 0;
            prefillMillis = 0;
            helperPrefillMillis = 0;
            for (AttemptPart part : parts) {
                memoryTokens += part.memoryTokens();
                prefillTokens += part.remainingPrefillTokens();
                prefillMillis += part.remainingPrefillMillis();
                decoding += part.isDecoding() ? 1 : 0;
                if (part.isHelper()) {
                    unfinishedHelpers += part.isPrefillFinished() ? 0 : 1;
                    helperPrefillMillis += part.remainingPrefillMillis();
                } else {
                    owned++;
                }
            }
        }
    }

    /** Skips the time since the last call of {@link #advance}, in which an idle target prefilled nothing. */
    void skipTo(long now) {
        advancedAt = now;
    }

    /**
     * Applies the time since the last call to prefill, in the order of engines: helpers' parts first, the newest of
     * them first.
     */
    void advance(long now, Optional<EngineProfile> profile) {
        double millis = (now - advancedAt) / NANOS_PER_MILLI;
        advancedAt = now;
        if (profile.isEmpty() || millis <= 0 || prefillBacklogMillis() == 0) {
            return;
        }
        double prefillFraction = 1;
        if (decodingCount() > 0) {
            double passPrefill = passPrefillMillis(profile.get(), 0, 0);
            prefillFraction = passPrefill / (passPrefill + profile.get().decodePassMillis());
            millis *= prefillFraction;
        }
        for (AttemptPart part : parts.sequencedValues().reversed()) {
            millis = part.isHelper() ? part.prefill(millis) : millis;
        }
        for (AttemptPart part : parts.values()) {
            if (!part.isHelper()) {
                millis = part.prefill(millis);
                part.endPrefillAt(now - (long) (millis / prefillFraction * NANOS_PER_MILLI));
            }
        }
        totalsStale = true;
    }

    /** Returns the remaining prefill of all parts, in milliseconds. */
    double prefillBacklogMillis() {
        return totals().prefillMillis;
    }

    /** Returns the remaining prefill of helpers' parts, in milliseconds. */
    double helperPrefillBacklogMillis() {
        return totals().helperPrefillMillis;
    }

    /**
     * Returns the prefill time of the longest upcoming pass if a prompt part is added, in milliseconds.
     *
     * @param addedTokens the tokens of the added part
     * @param addedMillis the time to prefill them
     */
    double passPrefillMillis(EngineProfile profile, double addedTokens, double addedMillis) {
        double tokens = addedTokens + totals().prefillTokens;
        double millis = addedMillis + totals().prefillMillis;
        double maxTokens = (double) profile.stepsPerPass() * profile.chunkTokens();
        return tokens <= maxTokens ? millis : millis * maxTokens / tokens;
    }
}
