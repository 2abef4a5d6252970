package org.boragebarrow.decision.warmth;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.ColdStart;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ColdTargetsTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final Duration COLD = Duration.ofSeconds(3);
    private static final int STEP_MILLIS = 20;
    private static final FleetTarget TARGET = new FleetTarget(
            TargetId.of("target"), SERVICE, Endpoint.of("10.0.0.1", 80), AvailabilityZoneId.of("zone"), 8, false, 1);

    private static ImmutableSet<HostId> hosts(int from, int to) {
        return IntStream.range(from, to).mapToObj(i -> HostId.of("host-" + i)).collect(ImmutableSet.toImmutableSet());
    }

    private static ColdTargets targets(double rate) {
        ColdTargets targets = new ColdTargets();
        targets.setColdStarts(ImmutableMap.of(SERVICE, new ColdStart(COLD, rate)));
        return targets;
    }

    private static ColdTargets targets(double rate, ImmutableSet<HostId> all, ImmutableSet<HostId> served) {
        ColdTargets targets = targets(rate);
        targets.setHosts(all, served);
        return targets;
    }

    /** Takes all requests that the assigners deal out, in steps; returns their times in milliseconds. */
    private static List<Long> takeAll(List<ColdTargets> assigners, long fromMillis, long untilMillis) {
        List<Long> taken = new ArrayList<>();
        for (long millis = fromMillis; millis < untilMillis; millis += STEP_MILLIS) {
            long now = TimeUnit.MILLISECONDS.toNanos(millis);
            for (ColdTargets assigner : assigners) {
                while (taken.size() < 100_000 && assigner.wait(TARGET, now).isZero()) {
                    assigner.take(TARGET, now);
                    taken.add(millis);
                    if (assigner.wait(TARGET, now).isZero()) {
                        break;
                    }
                }
            }
        }
        return taken;
    }

    private static long mostInASecond(List<Long> taken) {
        return taken.stream()
                .mapToLong(end -> taken.stream()
                        .filter(at -> at <= end && at > end - 1_000)
                        .count())
                .max()
                .orElse(0);
    }

    @Property(tries = 60, seed = "11")
    void hostsInAnyPartsOfTheFleetDealOutNoMoreThanTheTargetBears(
            @ForAll @IntRange(min = 1, max = 90) int hosts,
            @ForAll @IntRange(min = 1, max = 40) int rate,
            @ForAll @Size(max = 6) List<@IntRange(max = 90) Integer> cuts) {
        List<Integer> bounds = new ArrayList<>(cuts.stream()
                .map(cut -> Math.min(cut, hosts))
                .sorted()
                .distinct()
                .toList());
        bounds.add(hosts);
        List<ColdTargets> assigners = new ArrayList<>();
        int from = 0;
        for (int to : bounds) {
            if (to > from) {
                assigners.add(targets(rate, hosts(0, hosts), hosts(from, to)));
                from = to;
            }
        }
        assigners.forEach(assigner -> assigner.recordStart(TARGET.incarnation(), 0));
        List<Long> taken = takeAll(assigners, 0, COLD.toMillis());

        assertThat(mostInASecond(taken)).isAtMost(rate);
        assertWithMessage("dealt out of %s a second by %s hosts", rate, hosts)
                .that(taken.size())
                .isAtLeast((int) (COLD.toSeconds() * rate * 0.3));
    }

    @Example
    void sixtyHostsThatAreAllCutOffDealOutThePaceAndNoMore() {
        List<ColdTargets> alone = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            alone.add(targets(15, hosts(0, 60), hosts(i, i + 1)));
            alone.get(i).recordStart(TARGET.incarnation(), 0);
        }
        List<Long> taken = takeAll(alone, 0, COLD.toMillis());

        assertThat(mostInASecond(taken)).isEqualTo(10);
        assertThat(taken).hasSize(30);
    }

    @Example
    void twoAssignersOfTheSameHostsStayWithinHalfAsMuchAgain() {
        List<ColdTargets> both =
                List.of(targets(15, hosts(0, 60), hosts(0, 60)), targets(15, hosts(0, 60), hosts(0, 60)));
        both.forEach(assigner -> assigner.recordStart(TARGET.incarnation(), 0));

        assertThat(mostInASecond(takeAll(both, 0, COLD.toMillis()))).isAtMost(22);
    }

    @Example
    void nothingIsDealtOutBeforeTheHostsAreKnown() {
        ColdTargets targets = targets(15);
        targets.recordStart(TARGET.incarnation(), 0);

        assertThat(targets.wait(TARGET, 0)).isEqualTo(COLD);
    }

    @Example
    void thePaceGrowsAfterTheColdUntilThereIsNoLimit() {
        ColdTargets targets = targets(15, hosts(0, 3), hosts(0, 3));
        targets.recordStart(TARGET.incarnation(), 0);
        List<Long> taken = takeAll(List.of(targets), 0, 6_000);
        long first = taken.stream().filter(at -> at >= 3_000 && at < 4_000).count();
        long second = taken.stream().filter(at -> at >= 4_000 && at < 5_000).count();

        assertThat(first).isGreaterThan(11);
        assertThat(second).isGreaterThan(first);
        assertThat(targets.wait(TARGET, TimeUnit.SECONDS.toNanos(6))).isEqualTo(Duration.ZERO);
    }

    @Example
    void theLaterOfTheStartAndTheReportCountsAndAnUnusableReportIsAStart() {
        ColdTargets targets = targets(1, hosts(0, 2), hosts(1, 1));
        targets.recordReport(TARGET.incarnation(), Optional.of(Duration.ofSeconds(5)), 0);
        targets.recordReport(TARGET.incarnation(), Optional.of(Duration.ofSeconds(1)), 0);
        targets.recordReport(TARGET.incarnation(), Optional.of(Duration.ZERO), 0);
        targets.recordReport(TARGET.incarnation(), Optional.of(Duration.ofSeconds(-9)), 0);
        assertThat(targets.wait(TARGET, 0)).isEqualTo(Duration.ofSeconds(5));

        targets.recordReport(
                TARGET.incarnation(), Optional.empty(), Duration.ofSeconds(4).toNanos());
        assertThat(targets.wait(TARGET, 0)).isEqualTo(Duration.ofSeconds(7));
        targets.recordReport(TARGET.incarnation(), Optional.of(Duration.ofDays(900)), 0);
        assertThat(targets.wait(TARGET, 0)).isEqualTo(ColdTargets.MAX_REPORTED);
    }

    @Example
    void aServiceWithoutAColdPaceIsLimitedOnlyAfterItsZoneWasTakenBack() {
        ColdTargets targets = new ColdTargets();
        targets.setHosts(hosts(0, 1), hosts(0, 1));
        targets.recordStart(TARGET.incarnation(), 0);
        targets.take(TARGET, 0);
        assertThat(targets.wait(TARGET, 0)).isEqualTo(Duration.ZERO);

        targets.recordTakenBack(TARGET.incarnation(), 0);
        targets.take(TARGET, 0);
        assertThat(targets.wait(TARGET, 0)).isGreaterThan(Duration.ZERO);
    }
}
