package org.boragebarrow.decision.dispatch;

import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.allowance.ZoneDemand;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ModelId;

/** What the other availability zones told last. */
final class Neighbours {
    private final AvailabilityZoneId zone;
    private ImmutableMap<AvailabilityZoneId, ZoneSummary> summaries = ImmutableMap.of();

    Neighbours(AvailabilityZoneId zone) {
        this.zone = zone;
    }

    void update(ImmutableMap<AvailabilityZoneId, ZoneSummary> told) {
        summaries = told;
    }

    ImmutableMap<AvailabilityZoneId, ZoneDemand> demand() {
        ImmutableMap.Builder<AvailabilityZoneId, ZoneDemand> demand = ImmutableMap.builder();
        summaries.forEach((z, s) -> demand.put(z, new ZoneDemand(s.demand(), s.heard())));
        return demand.buildOrThrow();
    }

    /** Returns the zone that can hold the prompt and would start it first, if that is within the time given. */
    Optional<AvailabilityZoneId> zoneFor(ModelId model, long tokens, double withinSeconds) {
        Optional<AvailabilityZoneId> best = Optional.empty();
        double least = withinSeconds;
        for (Map.Entry<AvailabilityZoneId, ZoneSummary> e : summaries.entrySet()) {
            ZoneSummary s = e.getValue();
            boolean able = s.heard() && s.models().contains(model) && s.longestPromptTokens() >= tokens;
            if (able && !e.getKey().equals(zone) && s.queuedSeconds() < least) {
                best = Optional.of(e.getKey());
                least = s.queuedSeconds();
            }
        }
        return best;
    }
}
