package org.boragebarrow.decision.allowance;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The demand in another availability zone.
 *
 * @param tokensPerMinute the demand of each organisation
 * @param responsive whether messages from the zone have arrived recently
 */
public record ZoneDemand(ImmutableMap<OrganisationId, Long> tokensPerMinute, boolean responsive) {
    public ZoneDemand {
        checkNotNull(tokensPerMinute);
    }
}
