package org.boragebarrow.decision.dispatch;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.OrganisationId;

/**
 * What one availability zone tells the others about itself.
 *
 * @param demand tokens a minute that each organisation asks for in the zone
 * @param freeTokens free KV memory over the zone's engines, in tokens
 * @param longestPromptTokens the longest prompt that the zone's engines can hold together
 * @param queuedSeconds the predicted wait of a request that is queued now, in seconds
 * @param heard whether the zone was heard from lately
 */
public record ZoneSummary(
        ImmutableMap<OrganisationId, Long> demand,
        long freeTokens,
        long longestPromptTokens,
        double queuedSeconds,
        ImmutableSet<ModelId> models,
        boolean heard) {
    /** Returns the summary of a zone that has told nothing yet. */
    public static ZoneSummary untold(boolean heard) {
        return new ZoneSummary(ImmutableMap.of(), 0, 0, 0, ImmutableSet.of(), heard);
    }
}
