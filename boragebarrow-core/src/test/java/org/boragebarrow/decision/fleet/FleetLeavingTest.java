package org.boragebarrow.decision.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.collect.ImmutableList;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Tests that a target that announced in an answer that it leaves gets no new work. */
class FleetLeavingTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final int INCARNATIONS = 3;
    private static final long RESTART_MILLIS = 5_000;

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
    void anEntryThatStillSaysReadyDoesNotBringATargetBack() {
        FleetTarget ready = target("a", 1, false, 1);
        fleet.put(ready, 0);
        assertThat(fleet.recordLeaving(ready.incarnation())).isTrue();
        assertThat(fleet.recordLeaving(ready.incarnation())).isFalse();
        fleet.put(ready, 0);
        fleet.replace(ImmutableList.of(ready), 0);

        assertThat(fleet.isUsable(ready)).isFalse();
        assertThat(fleet.usable(SERVICE)).isEmpty();
        assertThat(fleet.all()).containsExactly(ready.asDraining());
    }

    @Example
    void anAnnouncementMayComeBeforeTheEntry() {
        FleetTarget ready = target("a", 1, false, 1);
        fleet.recordLeaving(ready.incarnation());
        fleet.put(ready, 0);

        assertThat(fleet.isUsable(ready)).isFalse();
    }

    @Example
    void anEntryThatIsReadAgainAfterItsEndDoesNotBringATargetBack() {
        FleetTarget ready = target("a", 1, false, 1);
        fleet.put(ready, 0);
        fleet.recordLeaving(ready.incarnation());
        fleet.remove(ready.id(), 0);
        fleet.put(ready, 0);

        assertThat(fleet.isUsable(ready)).isFalse();
    }

    @Example
    void theNextIncarnationAndATargetWithTheSameAddressAreServedAtOnce() {
        fleet.put(target("a", 1, false, 1), 0);
        fleet.recordLeaving(new TargetIncarnation(TargetId.of("a"), 1));
        FleetTarget again = target("a", 1, false, 2);
        fleet.put(again, 0);
        assertThat(fleet.isUsable(again)).isTrue();

        fleet.recordLeaving(again.incarnation());
        FleetTarget other = target("b", 1, false, 3);
        fleet.put(other, 0);
        assertThat(fleet.isUsable(other)).isTrue();
    }

    @Example
    void aTargetWhoseStartIsUnknownIsServedAgainOnceItsEntryHasEnded() {
        FleetTarget ready = target("a", 1, false, 0);
        fleet.put(ready, 0);
        fleet.recordLeaving(ready.incarnation());
        fleet.put(ready, 0);
        assertThat(fleet.isUsable(ready)).isFalse();
        fleet.remove(ready.id(), 0);
        fleet.put(ready, 0);
        assertThat(fleet.isUsable(ready)).isTrue();
    }

    @Example
    void endlessAnnouncementsAreBounded() {
        for (int i = 0; i < 3 * LeavingTargets.MAX_TARGETS; i++) {
            fleet.recordLeaving(new TargetIncarnation(TargetId.of("t" + i), 1));
        }
        FleetTarget last = target("t" + (3 * LeavingTargets.MAX_TARGETS - 1), 1, false, 1);
        FleetTarget first = target("t0", 2, false, 1);
        fleet.put(last, 0);
        fleet.put(first, 0);

        assertThat(fleet.isUsable(last)).isFalse();
        assertThat(fleet.isUsable(first)).isTrue();
    }

    /** What may happen to one target, in any order. */
    private enum Step {
        ENTRY_READY,
        ENTRY_DRAINING,
        ENTRY_REMOVED,
        FULL_READ,
        OLD_FULL_READ,
        ANNOUNCED,
        TABLE_LOST,
        TABLE_BACK,
        EXPIRED
    }

    /** Guards against a target that gets work again after it has announced that it leaves. */
    @Property(tries = 2_000)
    void noOrderOfEventsBringsATargetBack(
            @ForAll @Size(max = 40) List<Step> steps,
            @ForAll @Size(40) List<@IntRange(max = INCARNATIONS - 1) Integer> incarnations) {
        Fleet replayed = new Fleet();
        Set<Integer> announced = new HashSet<>();
        long now = 0;
        for (int i = 0; i < steps.size(); i++) {
            int incarnation = incarnations.get(i);
            FleetTarget ready = target("a", 1 + incarnation, false, 1 + incarnation);
            now += RESTART_MILLIS / 10;
            switch (steps.get(i)) {
                case ENTRY_READY -> replayed.put(ready, 0);
                case ENTRY_DRAINING -> replayed.put(ready.asDraining(), 0);
                case ENTRY_REMOVED -> replayed.remove(ready.id(), now);
                case FULL_READ -> replayed.replace(ImmutableList.of(ready), now);
                case OLD_FULL_READ -> replayed.replace(ImmutableList.of(target("a", 1, false, 1)), now);
                case ANNOUNCED -> {
                    replayed.recordLeaving(ready.incarnation());
                    announced.add(incarnation);
                }
                case TABLE_LOST -> replayed.onTableUnavailable();
                case TABLE_BACK -> replayed.onTableAvailable(now);
                case EXPIRED -> replayed.expire(now);
                default -> throw new AssertionError(steps.get(i));
            }
            for (int leaving : announced) {
                assertWithMessage("after step %s of %s", i, steps)
                        .that(replayed.isUsable(target("a", 1 + leaving, false, 1 + leaving)))
                        .isFalse();
            }
            boolean served = steps.get(i) == Step.ENTRY_READY || steps.get(i) == Step.FULL_READ;
            if (served && !announced.contains(incarnation)) {
                assertThat(replayed.isUsable(ready)).isTrue();
            }
        }
    }
}
