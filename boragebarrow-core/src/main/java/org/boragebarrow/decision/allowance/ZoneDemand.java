package org.boragebarrow.decision.allowance;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The demand in another availability zone.
 *
 * @param tokensPerMinute the demand of each organisation
 * @param heard whether messages from the zone have arrived recently
 */
public record ZoneDemand(ImmutableMap<OrganisationId, Long> tokensPerMinute, boolean heard) {
    public ZoneDemand {
        checkNotNull(tokensPerMinute);
    }
}
