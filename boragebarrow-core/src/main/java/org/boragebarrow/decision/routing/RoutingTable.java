package org.boragebarrow.decision.routing;

import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A complete, versioned routing configuration. Immutable.
 *
 * <p>{@link #match} takes time linear in the number of routes of the host name.
 */
public final class RoutingTable {
    private static final Comparator<Route> LONGEST_PREFIX_FIRST =
            Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();

    private final long version;
    private final ImmutableListMultimap<String, Route> routes;
    private final ImmutableMap<ServiceName, ServiceProfile> services;
    private final Optional<ImmutableMap<String, OrganisationId>> keys;
    private final ImmutableMap<OrganisationId, OrganisationProfile> organisations;
    private final Optional<CallerLimits> limits;

    private RoutingTable(
            long version,
            ImmutableListMultimap<String, Route> routes,
            ImmutableMap<ServiceName, ServiceProfile> services,
            Optional<ImmutableMap<String, OrganisationId>> keys,
            ImmutableMap<OrganisationId, OrganisationProfile> organisations,
            Optional<CallerLimits> limits) {
        this.version = version;
        this.routes = routes;
        this.services = services;
        this.keys = checkNotNull(keys);
        this.organisations = organisations;
        this.limits = checkNotNull(limits);
    }

    /**
     * Returns a table.
     *
     * @param keys the organisation that owns each key; empty if requests need no key, while a map without keys means that
     *     no key is known, and requests need one
     */
    public static RoutingTable of(
            long version,
            ImmutableList<Route> routes,
            ImmutableList<ServiceProfile> services,
            Optional<ImmutableMap<String, OrganisationId>> keys,
            ImmutableList<OrganisationProfile> organisations,
            Optional<CallerLimits> limits) {
        ImmutableListMultimap.Builder<String, Route> byHost = ImmutableListMultimap.builder();
        byHost.orderValuesBy(LONGEST_PREFIX_FIRST);
        routes.forEach(route -> byHost.put(route.host(), route));
        ImmutableMap.Builder<ServiceName, ServiceProfile> byName = ImmutableMap.builder();
        services.forEach(service -> byName.put(service.name(), service));
        ImmutableMap.Builder<OrganisationId, OrganisationProfile> byId = ImmutableMap.builder();
        organisations.forEach(organisation -> byId.put(organisation.id(), organisation));
        return new RoutingTable(
                version, byHost.build(), byName.buildKeepingLast(), keys, byId.buildKeepingLast(), limits);
    }

    /** Returns the version of the configuration. */
    public long version() {
        return version;
    }

    /** Returns the route of the host name with the longest matching path prefix. */
    public Optional<Route> match(String host, String path) {
        for (Route route : routes.get(host)) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns whether requests must carry a key. */
    public boolean requiresKeys() {
        return keys.isPresent();
    }

    /** Returns the organisation that owns the key. */
    public Optional<OrganisationId> organisation(String key) {
        return keys.map(owners -> owners.get(key));
    }

    /** Returns the configuration of the organisation; a default one if it has none. */
    public OrganisationProfile profile(OrganisationId organisation) {
        OrganisationProfile known = organisations.get(organisation);
        return known == null ? OrganisationProfile.of(organisation) : known;
    }

    /** Returns the services that are configured, or that routes lead to. */
    public ImmutableSet<ServiceName> serviceNames() {
        return Stream.concat(
                        services.keySet().stream(),
                        routes.values().stream()
                                .flatMap(route -> route.services().stream())
                                .map(Route.WeightedService::service))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the configuration of the service. */
    public Optional<ServiceProfile> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the engine profiles of the services whose targets are engines. */
    public ImmutableMap<ServiceName, EngineProfile> engineProfiles() {
        ImmutableMap.Builder<ServiceName, EngineProfile> engines = ImmutableMap.builder();
        services.values().forEach(service -> service.engine().ifPresent(engine -> engines.put(service.name(), engine)));
        return engines.build();
    }

    /** Returns what the targets of services bear just after their start, where that is less than later. */
    public ImmutableMap<ServiceName, ColdStart> coldStarts() {
        ImmutableMap.Builder<ServiceName, ColdStart> starts = ImmutableMap.builder();
        services.values().forEach(service -> service.coldStart().ifPresent(cold -> starts.put(service.name(), cold)));
        return starts.build();
    }

    /** Returns the limits for callers, if the configuration has any. */
    public Optional<CallerLimits> limits() {
        return limits;
    }

    /** Returns the number of routes. */
    public int size() {
        return routes.size();
    }
}
