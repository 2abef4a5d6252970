package org.boragebarrow.node.relay;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterTry;
import org.boragebarrow.decision.assign.HelperTarget;
import org.boragebarrow.decision.assign.RefusalReason;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.home.ZoneRegions;
import org.boragebarrow.decision.routing.RequestKind;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.node.relay.RelayFixture.FakeResponse;

import static com.google.common.truth.Truth.assertThat;

/** Tests that a host sends nothing to targets that operators do not let a request reach, whatever was assigned. */
class RelayPermissionsTest {
    private static final AvailabilityZoneId EMPTIED = AvailabilityZoneId.of("emptied");

    private final RelayFixture fixture = new RelayFixture(100);
    private final FleetTarget first = addTargetOfEmptiedZone("first");
    private final FleetTarget other = fixture.addTarget("other");

    private FleetTarget addTargetOfEmptiedZone(String id) {
        FleetTarget target = new FleetTarget(
                TargetId.of(id), RelayFixture.SERVICE, Endpoint.of("10.0.0.2", 80), EMPTIED, 4, false, 1);
        fixture.fleet.put(target, 0);
        return target;
    }

    @AfterTry
    void close() {
        fixture.close();
    }

    private void emptyZone() {
        fixture.emptied.empty(EMPTIED, fixture.now());
        fixture.relay.takeBackFromUnusable();
    }

    @Example
    void anAssignmentToAnEmptiedZoneIsNotUsedAndTheNextRequestNamesTheZone() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        emptyZone();
        fixture.assignments.assign(first);
        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.assignments.lastSubmitted().terms().closedZones()).containsExactly(EMPTIED);

        fixture.assignments.assign(other);
        fixture.calls.last().head(200).body("done").end();
        assertThat(response.status).isEqualTo(200);
    }

    @Example
    void aRequestThatWaitsForAConnectionLeavesAnEmptiedZone() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        fixture.send();
        fixture.assignments.assign(first);
        fixture.calls.last().sent = false;
        emptyZone();

        assertThat(fixture.calls.last().closed).isTrue();
        assertThat(fixture.assignments.submitted).hasSize(2);
    }

    @Example
    void aWaitingRequestThatOnlyAHelperOfTheZoneWouldHelpLeavesIt() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 1);
        fixture.send();
        fixture.assignments.assign(other, first);
        fixture.calls.last().sent = false;
        emptyZone();

        assertThat(fixture.calls.last().closed).isTrue();
    }

    @Example
    void aReservationInProgressIsReleasedAndNothingIsSent() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 1);
        fixture.calls.reservationResult = new CompletableFuture<>();
        fixture.send();
        fixture.assignments.assign(other, 100, first);
        emptyZone();
        fixture.calls.reservationResult.complete(null);
        fixture.advance(1);

        assertThat(fixture.calls.started).isEmpty();
        assertThat(fixture.calls.released).containsExactly(first.id());
    }

    @Example
    void aRequestIsSentWithoutAHelperThatItDoesNotNeedAndThatBecameUnusableWhileMemoryWasReserved() {
        FleetTarget storing = fixture.addTarget("storing");
        FleetTarget reading = fixture.addTarget("reading");
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 1);
        fixture.calls.reservationResult = new CompletableFuture<>();
        fixture.send();
        fixture.assignments.assignHelpers(other, new HelperTarget(storing, 100), new HelperTarget(reading, 0));
        fixture.fleet.recordLeaving(reading.incarnation());
        fixture.calls.reservationResult.complete(null);
        fixture.advance(1);

        assertThat(fixture.calls.started).hasSize(1);
        assertThat(fixture.calls.last().call.helpers()).containsExactly(new HelperTarget(storing, 100));
    }

    @Example
    void aRequestThatWasSentEndsInPlaceAndKeepsItsReservations() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 2);
        FakeResponse response = fixture.send();
        fixture.assignments.assign(first, 100, addTargetOfEmptiedZone("second"));
        fixture.advance(1);
        emptyZone();
        int reserved = fixture.calls.reserved.size();
        fixture.calls.last().head(200).body("id: 1\ndata: x\n\n");
        fixture.advance(1_000);

        assertThat(fixture.calls.last().closed).isFalse();
        assertThat(fixture.calls.reserved.size()).isGreaterThan(reserved);
        assertThat(response.body.toString()).contains("data: x");
    }

    @Example
    void aBrokenStreamIsNotResumedInAnEmptiedZone() {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 3);
        fixture.send();
        fixture.assignments.assign(other);
        fixture.calls.last().head(200).body("id: 1\ndata: x\n\n");
        emptyZone();
        fixture.calls.last().reset();
        assertThat(fixture.assignments.lastSubmitted().terms().closedZones()).containsExactly(EMPTIED);
        fixture.assignments.assign(first);

        assertThat(fixture.calls.started).hasSize(1);
    }

    @Example
    void aVersionThatAddsHomesBindsRequestsThatWaitForATarget() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        fixture.regions = new ZoneRegions(ImmutableMap.of(EMPTIED, RegionId.of("home")));
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1, RegionId.of("home"));
        assertThat(fixture.assignments.lastSubmitted().terms().homes()).hasValue(ImmutableSet.of(RegionId.of("home")));
        fixture.assignments.assign(other);
        assertThat(fixture.calls.started).isEmpty();
        fixture.assignments.assign(first);
        fixture.calls.last().head(200).body("done").end();

        assertThat(response.status).isEqualTo(200);
        assertThat(fixture.calls.started).hasSize(1);
    }

    @Example
    void aVersionThatAddsHomesTakesARequestBackThatWaitsForAConnection() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        fixture.send();
        fixture.assignments.assign(other);
        fixture.calls.last().sent = false;
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1, RegionId.of("home"));

        assertThat(fixture.calls.last().closed).isTrue();
    }

    @Property(tries = 60, seed = "21")
    void nothingIsSentToAnEmptiedZoneInAnyOrderOfEvents(
            @ForAll @Size(max = 40) List<@IntRange(max = 7) Integer> steps) {
        fixture.setRoute(RequestKind.RESUMABLE_STREAM, 3);
        for (int step : steps) {
            switch (step) {
                case 0 -> fixture.send();
                case 1 -> emptyZone();
                case 2 -> fixture.emptied.takeBack(EMPTIED, fixture.now());
                case 3 -> fixture.advance(400);
                case 4 -> fixture.calls.sendsAtOnce = !fixture.calls.sendsAtOnce;
                default -> assign(step);
            }
            if (fixture.emptied.contains(EMPTIED)) {
                assertThat(fixture.calls.started.stream()
                                .filter(call -> !call.sent && !call.closed)
                                .filter(call -> call.call.target().equals(first)
                                        || !call.call.helpers().isEmpty())
                                .count())
                        .isEqualTo(0);
            }
        }
    }

    private void assign(int step) {
        if (fixture.assignments.submitted.isEmpty()) {
            return;
        }
        int before = fixture.calls.started.size();
        boolean wasEmptied = fixture.emptied.contains(EMPTIED);
        switch (step) {
            case 5 -> fixture.assignments.assign(first);
            case 6 -> fixture.assignments.assign(other, first);
            default -> fixture.assignments.assign(other);
        }
        for (RelayFixture.FakeCall call : fixture.calls.started.subList(before, fixture.calls.started.size())) {
            boolean reachesZone =
                    call.call.target().equals(first) || !call.call.helpers().isEmpty();
            assertThat(wasEmptied && reachesZone).isFalse();
        }
    }

    @Example
    void allZonesEmptiedIsRefusedAsNotRunWithTheReason() {
        fixture.setRoute(RequestKind.AT_MOST_ONCE, 1);
        FakeResponse response = fixture.send();
        fixture.assignments.refuse(RefusalReason.ZONES_EMPTIED);

        assertThat(response.status).isEqualTo(503);
        assertThat(response.body.toString()).contains("ZONES_EMPTIED");
        assertThat(response.body.toString()).contains("\"ran\":\"no\"");
    }
}
