package org.boragebarrow.decision.routing;

import java.time.Duration;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.ServiceName;

import static com.google.common.truth.Truth.assertThat;

class RoutingTableTest {
    private static final ServiceName OLD = ServiceName.of("old");
    private static final ServiceName NEW = ServiceName.of("new");

    private static Route route(String name, String host, String prefix, Route.WeightedService... services) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.REPEATABLE,
                Duration.ofSeconds(2),
                Duration.ofMillis(300),
                Optional.empty(),
                2,
                false,
                ImmutableList.copyOf(services),
                Optional.empty(),
                ImmutableSet.of());
    }

    private static RoutingTable table(long version, Route... routes) {
        return RoutingTable.of(
                version,
                ImmutableList.copyOf(routes),
                ImmutableList.of(),
                Optional.of(ImmutableMap.of("key", OrganisationId.of("organisation"))),
                ImmutableList.of(),
                Optional.empty());
    }

    @Example
    void theLongestMatchingPrefixOfTheHostIsSelected() {
        Route wide = route("wide", "a", "/x/", new Route.WeightedService(OLD, 1));
        Route narrow = route("narrow", "a", "/x/y/", new Route.WeightedService(OLD, 1));
        Route other = route("other", "b", "/x/y/z/", new Route.WeightedService(OLD, 1));
        RoutingTable table = table(1, wide, narrow, other);

        assertThat(table.match("a", "/x/y/z/1")).hasValue(narrow);
        assertThat(table.match("a", "/x/1")).hasValue(wide);
        assertThat(table.match("a", "/y/")).isEmpty();
        assertThat(table.match("c", "/x/")).isEmpty();
    }

    @Example
    void aPrefixMatchesWholeSegmentsOnly() {
        RoutingTable table = table(1, route("only", "a", "/x/", new Route.WeightedService(OLD, 1)));

        assertThat(table.match("a", "/xy/1")).isEmpty();
        assertThat(table.match("a", "/x")).isEmpty();
    }

    @Example
    void servicesAreSelectedByWeight() {
        Route split =
                route("split", "a", "/x/", new Route.WeightedService(OLD, 90), new Route.WeightedService(NEW, 10));

        assertThat(split.service(0)).isEqualTo(OLD);
        assertThat(split.service(0.899)).isEqualTo(OLD);
        assertThat(split.service(0.901)).isEqualTo(NEW);
        assertThat(split.service(0.999)).isEqualTo(NEW);
    }

    @Example
    void aServiceWithZeroWeightGetsNoRequests() {
        Route split = route("split", "a", "/x/", new Route.WeightedService(OLD, 0), new Route.WeightedService(NEW, 1));

        assertThat(split.service(0)).isEqualTo(NEW);
    }

    @Example
    void anOlderOrRepeatedVersionIsIgnored() {
        RoutingTableHolder holder = new RoutingTableHolder();
        RoutingTable newer = table(7);

        assertThat(holder.current()).isEmpty();
        assertThat(holder.offer(newer)).isTrue();
        assertThat(holder.offer(table(5))).isFalse();
        assertThat(holder.offer(table(7))).isFalse();
        assertThat(holder.current()).hasValue(newer);
        assertThat(holder.offer(table(12))).isTrue();
        assertThat(holder.current().orElseThrow().version()).isEqualTo(12);
    }

    @Example
    void anUnknownKeyHasNoOrganisation() {
        assertThat(table(1).organisation("key")).hasValue(OrganisationId.of("organisation"));
        assertThat(table(1).organisation("other")).isEmpty();
    }

    @Example
    void organisationsWithoutAnyKeyRequireOneAllTheSame() {
        ImmutableMap<String, OrganisationId> noKeys = ImmutableMap.of();
        RoutingTable table = RoutingTable.of(
                1, ImmutableList.of(), ImmutableList.of(), Optional.of(noKeys), ImmutableList.of(), Optional.empty());

        assertThat(table.requiresKeys()).isTrue();
        assertThat(table.organisation("key")).isEmpty();
    }

    @Example
    void aTableWithoutOrganisationsRequiresNoKey() {
        RoutingTable table = RoutingTable.of(
                1, ImmutableList.of(), ImmutableList.of(), Optional.empty(), ImmutableList.of(), Optional.empty());

        assertThat(table.requiresKeys()).isFalse();
    }

    @Example
    void theAbandonmentTimeIsTheLongestOfThreeBounds() {
        assertThat(AbandonmentTime.of(Duration.ofMillis(300), Optional.of(Duration.ofMillis(250))))
                .isEqualTo(Duration.ofSeconds(2));
        assertThat(AbandonmentTime.of(Duration.ofMillis(3_000), Optional.of(Duration.ofMillis(1_000))))
                .isEqualTo(Duration.ofSeconds(12));
        assertThat(AbandonmentTime.of(Duration.ofMillis(300), Optional.of(Duration.ofMillis(500))))
                .isEqualTo(Duration.ofSeconds(4));
    }
}
