package org.boragebarrow.decision.allowance;

import com.google.common.collect.ImmutableMap;
import org.boragebarrow.model.OrganisationId;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What another availability zone asks for.
 *
 * @param tokensPerMinute demand by organisation
 * @param heard whether the zone was heard from lately
 */
public record ZoneDemand(ImmutableMap<OrganisationId, Long> tokensPerMinute, boolean heard) {
    public ZoneDemand {
        checkNotNull(tokensPerMinute);
    }
}
