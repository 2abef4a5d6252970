package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;

/**
 * The load and demand that one availability zone reports to the others.
 *
 * @param demand tokens per minute that each organisation requests in the zone
 * @param freeTokens total free KV memory of the zone's engines, in tokens
 * @param longestPromptTokens the longest prompt that the zone's engines can hold together, in tokens
 * @param queuedSeconds the predicted wait of a short prompt that is queued now, in seconds; the maximum over all models
 * @param responsive whether messages from the zone arrived within its timeout
 */
public record ZoneSummary(
        ImmutableMap<OrganisationId, Long> demand,
        long freeTokens,
        long longestPromptTokens,
        double queuedSeconds,
        ImmutableSet<ModelId> models,
        boolean responsive) {
    /** Returns the summary of a zone from which no summary has been received yet. */
    public static ZoneSummary empty(boolean responsive) {
        return new ZoneSummary(ImmutableMap.of(), 0, 0, 0, ImmutableSet.of(), responsive);
    }
}
