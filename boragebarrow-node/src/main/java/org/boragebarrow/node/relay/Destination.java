package org.boragebarrow.node.relay;

import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.boragebarrow.decision.assign.WorkTerms;
import org.boragebarrow.decision.routing.OrganisationProfile;
import org.boragebarrow.decision.routing.Route;
import org.boragebarrow.decision.routing.RoutingTable;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.UrgencyRank;

/**
 * Where a request is sent according to the routing in effect at its arrival.
 *
 * @param organisation the owner of the caller's key; empty if no key is required
 * @param rank the rank that is configured for the organisation or the route; empty if none is
 * @param terms what the route and the organisation entitle the request to
 */
record Destination(
        Route route,
        ServiceName service,
        Optional<OrganisationId> organisation,
        Optional<UrgencyRank> rank,
        WorkTerms terms) {
    /** Returns the destination with the terms of the route and of the organisation, whose rank precedes the route's. */
    static Destination of(RoutingTable table, Route route, ServiceName service, Optional<OrganisationId> organisation) {
        Optional<OrganisationProfile> profile = organisation.map(table::profile);
        Optional<UrgencyRank> rank = profile.flatMap(OrganisationProfile::rank).or(route::rank);
        WorkTerms terms = new WorkTerms(
                organisation,
                profile.map(OrganisationProfile::weight).orElse(1.0),
                rank.orElse(UrgencyRank.DEFAULT),
                homes(route, profile),
                WorkTerms.Purpose.FIRST,
                0);
        return new Destination(route, service, organisation, rank, terms);
    }

    /** Returns the destination with the homes that another configuration gives the request; all else stays as it was. */
    Destination withHomesOf(RoutingTable table, String host, String path) {
        Optional<OrganisationProfile> profile = organisation.map(table::profile);
        return new Destination(
                route,
                service,
                organisation,
                rank,
                terms.withHomes(homes(table.match(host, path).orElse(route), profile)));
    }

    private static Optional<ImmutableSet<RegionId>> homes(Route route, Optional<OrganisationProfile> profile) {
        return homes(route.homes(), profile.map(OrganisationProfile::homes).orElse(ImmutableSet.of()));
    }

    /** Returns the regions in both sets; an empty set of a route or an organisation stands for all regions. */
    private static Optional<ImmutableSet<RegionId>> homes(
            ImmutableSet<RegionId> ofRoute, ImmutableSet<RegionId> ofOrganisation) {
        if (ofRoute.isEmpty() && ofOrganisation.isEmpty()) {
            return Optional.empty();
        }
        if (ofRoute.isEmpty() || ofOrganisation.isEmpty()) {
            return Optional.of(ofRoute.isEmpty() ? ofOrganisation : ofRoute);
        }
        return Optional.of(Sets.intersection(ofRoute, ofOrganisation).immutableCopy());
    }
}
