package org.boragebarrow.decision.fleet;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

class FleetTest {
    private static final ServiceName SERVICE = ServiceName.of("service");

    private final Fleet fleet = new Fleet();

    private static FleetTarget target(String id, int port, boolean draining, long started) {
        return new FleetTarget(
                TargetId.of(id),
                SERVICE,
                Endpoint.of("10.0.0.1", port),
                AvailabilityZoneId.of("zone"),
                4,
                draining,
                started);
    }

    @Example
    void aDrainingTargetAcceptsNoNewWork() {
        fleet.put(target("a", 1, false, 1), 0);
        fleet.put(target("a", 1, true, 1), 0);

        assertThat(fleet.usable(SERVICE)).isEmpty();
        assertThat(fleet.isUsable(target("a", 1, false, 1))).isFalse();
    }

    @Example
    void anotherIncarnationUnderTheSameIdIsAnotherTarget() {
        fleet.put(target("a", 1, false, 1), 0);
        fleet.put(target("a", 1, false, 2), 0);

        assertThat(fleet.isUsable(target("a", 1, false, 1))).isFalse();
        assertThat(fleet.isUsable(target("a", 1, false, 2))).isTrue();
    }

    @Example
    void anEntryRemovedWhileTheTableIsAvailableIsDroppedAtOnce() {
        fleet.put(target("a", 1, false, 1), 0);
        fleet.onTableAvailable(0);
        fleet.remove(TargetId.of("a"), 10);

        assertThat(fleet.usable(SERVICE)).isEmpty();
    }

    @Example
    void anEntryMissingRightAfterATableOutageIsKeptForTwoSeconds() {
        fleet.put(target("a", 1, false, 1), 0);
        fleet.put(target("b", 2, false, 1), 0);
        fleet.onTableUnavailable();
        fleet.onTableAvailable(10_000);
        fleet.replace(ImmutableList.of(target("b", 2, false, 1)), 10_001);

        assertThat(fleet.usable(SERVICE)).hasSize(2);
        assertThat(fleet.expire(11_999)).isFalse();
        assertThat(fleet.expire(12_000)).isTrue();
        assertThat(fleet.usable(SERVICE)).containsExactly(target("b", 2, false, 1));
    }

    @Example
    void anEntryThatReappearsInTimeIsKept() {
        fleet.put(target("a", 1, false, 1), 0);
        fleet.onTableUnavailable();
        fleet.onTableAvailable(10_000);
        fleet.remove(TargetId.of("a"), 10_001);
        fleet.put(target("a", 1, false, 1), 0);

        assertThat(fleet.expire(20_000)).isFalse();
        assertThat(fleet.usable(SERVICE)).hasSize(1);
    }

    @Example
    void drainingIsAppliedToAnUnconfirmedEntry() {
        fleet.put(target("a", 1, false, 1), 0);
        fleet.onTableUnavailable();
        fleet.onTableAvailable(10_000);
        fleet.remove(TargetId.of("a"), 10_001);
        fleet.put(target("a", 1, true, 1), 0);

        assertThat(fleet.usable(SERVICE)).isEmpty();
    }

    /** Guards against chains of 421 answers: an entry stays for seconds after its target came back under another id. */
    @Example
    void theEntryOfATargetIsDroppedOnceALaterOneHasItsAddress() {
        FleetTarget old = target("old", 80, false, 100);
        FleetTarget back = target("back", 80, false, 200);
        fleet.put(old, 0);
        fleet.put(back, 0);
        fleet.put(old, 0);

        assertThat(fleet.all()).containsExactly(back);
        assertThat(fleet.isUsable(old)).isFalse();
    }

    @Example
    void theOrderInWhichEntriesOfOneAddressAreReadDoesNotMatter() {
        FleetTarget old = target("old", 80, false, 100);
        FleetTarget back = target("back", 80, false, 200);
        fleet.replace(ImmutableList.of(back, old, target("other", 81, false, 50)), 0);

        assertThat(fleet.usable(SERVICE)).containsExactly(back, target("other", 81, false, 50));
    }

    @Example
    void entriesOfOneAddressAreAllKeptIfTheirStartsAreUnknown() {
        fleet.put(target("a", 80, false, 0), 0);
        fleet.put(target("b", 80, false, 0), 0);

        assertThat(fleet.all()).hasSize(2);
    }

    /** Guards against live targets that are dropped because an entry of another writer has their address. */
    @Example
    void anEntryOfAServiceThatIsNotNamedTakesNoOthersPlaceUntilItIs() {
        ServiceName stranger = ServiceName.of("stranger");
        FleetTarget live = target("live", 80, false, 100);
        FleetTarget other = new FleetTarget(
                TargetId.of("other"), stranger, live.endpoint(), AvailabilityZoneId.of("zone"), 4, false, 200);
        fleet.setServices(ImmutableSet.of(SERVICE), 0);
        fleet.put(live, 0);
        fleet.put(other, 0);
        assertThat(fleet.usable(SERVICE)).containsExactly(live);

        fleet.setServices(ImmutableSet.of(SERVICE, stranger), 0);
        assertThat(fleet.all()).containsExactly(other);
    }
}
