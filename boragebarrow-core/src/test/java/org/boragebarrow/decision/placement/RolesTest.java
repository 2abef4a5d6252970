package org.boragebarrow.decision.placement;

import java.util.HashSet;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMultiset;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;
import static java.util.stream.IntStream.range;

class RolesTest {
    private static final ImmutableList<HostId> HOSTS = hosts(20);
    private static final ImmutableList<AvailabilityZoneId> ZONES =
            range(0, 18).mapToObj(i -> AvailabilityZoneId.of("zone-" + i)).collect(ImmutableList.toImmutableList());

    @Example
    void theChoiceDoesNotDependOnTheOrderOfHosts() {
        assertThat(Rendezvous.choose("dispatcher", HOSTS.reverse())).isEqualTo(Rendezvous.choose("dispatcher", HOSTS));
        assertThat(Rendezvous.choose("dispatcher", HOSTS).orElseThrow())
                .isEqualTo(Rendezvous.rank("dispatcher", HOSTS, 1).get(0));
    }

    @Example
    void theChoiceIsStableAcrossVersions() {
        assertThat(Roles.holder(new Role.Dispatcher(), hosts(3))).hasValue(HostId.of("host-2"));
    }

    @Example
    void removingAHostMovesOnlyItsKeys() {
        HostId removed = HOSTS.get(7);
        ImmutableSet<HostId> remaining =
                HOSTS.stream().filter(h -> !h.equals(removed)).collect(ImmutableSet.toImmutableSet());
        for (int i = 0; i < 500; i++) {
            HostId before = Rendezvous.choose("key" + i, HOSTS).orElseThrow();
            if (!before.equals(removed)) {
                assertThat(Rendezvous.choose("key" + i, remaining)).hasValue(before);
            }
        }
    }

    @Example
    void rolesAreUnassignedWithoutHosts() {
        assertThat(Roles.holder(new Role.Planner(), ImmutableList.of())).isEmpty();
        assertThat(Roles.bridges(ImmutableList.of(), ZONES)).isEmpty();
    }

    @Example
    void eachTargetHasTwoDistinctObserversSpreadOverTheHosts() {
        Set<HostId> used = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            ImmutableList<HostId> observers = Roles.observers(TargetId.of("target-" + i), HOSTS);
            assertThat(ImmutableSet.copyOf(observers)).hasSize(2);
            used.addAll(observers);
        }
        assertThat(used).hasSize(HOSTS.size());
    }

    @Example
    void bridgesAreSpreadEvenly() {
        assertThat(Roles.bridges(HOSTS, ZONES).keySet()).containsExactlyElementsIn(ZONES);
        assertThat(ImmutableSet.copyOf(Roles.bridges(HOSTS, ZONES).values())).hasSize(ZONES.size());
        ImmutableMultiset<HostId> zonesPerHost =
                ImmutableMultiset.copyOf(Roles.bridges(hosts(3), ZONES).values());
        zonesPerHost.entrySet().forEach(entry -> assertThat(entry.getCount()).isEqualTo(6));
    }

    private static ImmutableList<HostId> hosts(int count) {
        return range(0, count).mapToObj(i -> HostId.of("host-" + i)).collect(ImmutableList.toImmutableList());
    }
}
