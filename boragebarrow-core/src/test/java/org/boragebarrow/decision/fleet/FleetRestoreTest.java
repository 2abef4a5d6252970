package org.boragebarrow.decision.fleet;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

/** Tests what a fleet makes of a table that has come back from an older copy. */
class FleetRestoreTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final long NOW = 10_000;

    private final Fleet fleet = new Fleet();

    private static FleetTarget target(String id, boolean draining, long started, long sequence) {
        return new FleetTarget(
                TargetId.of(id),
                SERVICE,
                Endpoint.of("10.0.0." + id.charAt(0) % 100, 80),
                AvailabilityZoneId.of("zone"),
                4,
                draining,
                started,
                sequence);
    }

    private ImmutableList<TargetId> usable() {
        return fleet.usable(SERVICE).stream().map(FleetTarget::id).collect(ImmutableList.toImmutableList());
    }

    @Example
    void aTargetThatIsGoneStaysGoneUnlessItsEntryIsNewer() {
        fleet.put(target("a", false, 1, 5), NOW);
        fleet.remove(TargetId.of("a"), NOW);

        assertThat(fleet.restore(ImmutableList.of(target("a", false, 1, 5)), NOW))
                .isEqualTo(1);
        assertThat(usable()).isEmpty();
        fleet.restore(ImmutableList.of(target("a", false, 1, 6)), NOW);
        assertThat(usable()).containsExactly(TargetId.of("a"));
    }

    @Example
    void anEntryThatIsWrittenAfterTheReadIsBelievedWhateverItsNumber() {
        fleet.put(target("a", false, 1, 5), NOW);
        fleet.remove(TargetId.of("a"), NOW);
        fleet.restore(ImmutableList.of(target("a", false, 1, 5)), NOW);
        fleet.put(target("a", false, 1, 5), NOW);

        assertThat(usable()).containsExactly(TargetId.of("a"));
    }

    @Example
    void aDrainingTargetStaysSo() {
        fleet.put(target("a", false, 1, 5), NOW);
        fleet.put(target("a", true, 1, 6), NOW);
        fleet.restore(ImmutableList.of(target("a", false, 1, 5)), NOW);

        assertThat(usable()).isEmpty();
        assertThat(fleet.all()).hasSize(1);
    }

    @Example
    void anEarlierIncarnationDoesNotTakeThePlaceOfALaterOne() {
        fleet.put(target("a", false, 1, 5), NOW);
        fleet.put(target("a", false, 2, 1), NOW);
        fleet.restore(ImmutableList.of(target("a", false, 1, 5)), NOW);

        assertThat(fleet.find(TargetId.of("a")).orElseThrow().startedMillis()).isEqualTo(2);
    }

    @Example
    void aTargetThatTheCopyLacksHasTimeToReappear() {
        fleet.put(target("a", false, 1, 5), NOW);
        fleet.restore(ImmutableList.of(), NOW);
        assertThat(usable()).containsExactly(TargetId.of("a"));
        assertThat(fleet.unconfirmedCount()).isEqualTo(1);
        assertThat(fleet.expire(NOW + Fleet.REAPPEAR_GRACE_MILLIS - 1)).isFalse();

        assertThat(fleet.expire(NOW + Fleet.REAPPEAR_GRACE_MILLIS)).isTrue();
        assertThat(usable()).isEmpty();
    }

    @Example
    void whatIsKnownIsForgottenAfterAWhile() {
        fleet.put(target("a", false, 1, 5), NOW);
        fleet.remove(TargetId.of("a"), NOW);
        fleet.restore(ImmutableList.of(target("a", false, 1, 5)), NOW + Withdrawals.RETENTION.toMillis() + 1);

        assertThat(usable()).containsExactly(TargetId.of("a"));
    }

    @Example
    void onlyTheLastWithdrawalsAreKept() {
        Withdrawals withdrawals = new Withdrawals();
        FleetTarget first = target("a", false, 0, 5);
        withdrawals.onGone(first, NOW);
        for (int started = 1; started <= Withdrawals.MAX_TARGETS; started++) {
            withdrawals.onGone(target("a", false, started, 5), NOW);
        }

        assertThat(withdrawals.judge(first, NOW)).hasValue(first);
        assertThat(withdrawals.judge(target("a", false, 1, 5), NOW)).isEmpty();
    }
}
