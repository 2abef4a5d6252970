package org.boragebarrow.model;

import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The plan that an organisation is on and the keys it authenticates with.
 *
 * @param keyHashes lower-case hexadecimal SHA-256 hashes of the organisation's API keys
 */
public record Plan(OrganisationId organisation, PlanId plan, ImmutableSet<String> keyHashes) {
    public Plan {
        checkNotNull(organisation);
        checkNotNull(plan);
        checkNotNull(keyHashes);
    }
}
