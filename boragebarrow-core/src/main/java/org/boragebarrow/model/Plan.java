package org.boragebarrow.model;

import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The assignment of a plan to an organisation, with the organisation's API keys.
 *
 * @param keyHashes lower-case hexadecimal SHA-256 hashes of the API keys that the organisation authenticates with
 */
public record Plan(OrganisationId organisation, PlanId planId, ImmutableSet<String> keyHashes) {
    public Plan {
        checkNotNull(organisation);
        checkNotNull(planId);
        checkNotNull(keyHashes);
    }
}
