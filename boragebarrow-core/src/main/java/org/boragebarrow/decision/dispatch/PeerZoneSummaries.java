package org.boragebarrow.decision.dispatch;

import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.allowance.ZoneDemand;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.ModelId;

/** The latest summaries received from the peer zones. */
final class PeerZoneSummaries {
    private final AvailabilityZoneId zone;
    private ImmutableMap<AvailabilityZoneId, ZoneSummary> summaries = ImmutableMap.of();

    PeerZoneSummaries(AvailabilityZoneId zone) {
        this.zone = zone;
    }

    void update(ImmutableMap<AvailabilityZoneId, ZoneSummary> received) {
        summaries = received;
    }

    ImmutableMap<AvailabilityZoneId, ZoneDemand> demand() {
        ImmutableMap.Builder<AvailabilityZoneId, ZoneDemand> demand = ImmutableMap.builder();
        summaries.forEach((z, s) -> demand.put(z, new ZoneDemand(s.demand(), s.responsive())));
        return demand.buildOrThrow();
    }

    /** Returns the peer zone that can hold the prompt with the shortest predicted wait, if below the given limit. */
    Optional<AvailabilityZoneId> zoneFor(ModelId model, long tokens, double withinSeconds) {
        Optional<AvailabilityZoneId> best = Optional.empty();
        double minSeconds = withinSeconds;
        for (Map.Entry<AvailabilityZoneId, ZoneSummary> e : summaries.entrySet()) {
            ZoneSummary s = e.getValue();
            boolean eligible = s.responsive() && s.models().contains(model) && s.longestPromptTokens() >= tokens;
            if (eligible && !e.getKey().equals(zone) && s.queuedSeconds() < minSeconds) {
                best = Optional.of(e.getKey());
                minSeconds = s.queuedSeconds();
            }
        }
        return best;
    }
}
