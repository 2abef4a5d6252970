package org.boragebarrow.decision.routing;

import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.UrgencyRank;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The configuration of an organisation.
 *
 * @param rank the rank of its requests, which precedes that of their routes
 * @param homes the regions whose targets its requests may reach; empty if they may reach all
 * @param weight its share of scarce capacity, relative to the weights of other organisations
 */
public record OrganisationProfile(
        OrganisationId id, Optional<UrgencyRank> rank, ImmutableSet<RegionId> homes, double weight) {
    public OrganisationProfile {
        checkNotNull(id);
        checkNotNull(rank);
        checkNotNull(homes);
        checkArgument(weight > 0 && Double.isFinite(weight), "weight must be positive and finite: %s", weight);
    }

    /** Returns the profile of an organisation for which nothing is configured. */
    public static OrganisationProfile of(OrganisationId id) {
        return new OrganisationProfile(id, Optional.empty(), ImmutableSet.of(), 1);
    }
}
