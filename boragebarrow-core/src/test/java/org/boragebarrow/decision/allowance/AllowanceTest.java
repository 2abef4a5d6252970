package org.boragebarrow.decision.allowance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.boragebarrow.model.Allowance;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PlanId;

import static com.google.common.truth.Truth.assertThat;

final class AllowanceTest {
    private static final OrganisationId ORG = OrganisationId.of("org");
    private static final Duration BURST = Duration.ofSeconds(3);
    private static final int ZONES = 3;

    private static Allowance allowance(long tokensPerMinute, int concurrent) {
        return new Allowance(
                PlanId.of("plan"),
                tokensPerMinute,
                concurrent,
                1_000_000,
                1,
                Duration.ofMinutes(1),
                Duration.ofMinutes(1),
                ImmutableSet.of(),
                ImmutableSet.of());
    }

    private static AvailabilityZoneId zone(int i) {
        return AvailabilityZoneId.of("z" + i);
    }

    private static AllowanceLedger ledger() {
        return new AllowanceLedger(new ZoneShares(zone(0), 0.25), BURST);
    }

    @Example
    void theRateBoundsWhatIsAdmittedOverTime() {
        AllowanceLedger ledger = ledger();
        long admitted = 0;
        for (int second = 0; second < 600; second++) {
            long now = second * 1_000_000_000L;
            for (int i = 0; i < 5; i++) {
                if (ledger.admit(ORG, allowance(60_000, 1_000), 500, now).isEmpty()) {
                    admitted += 500;
                    ledger.settle(ORG, 0);
                }
            }
        }
        assertThat(admitted).isAtMost(600_000 + 3_000 + 500);
        assertThat(admitted).isAtLeast(590_000);
    }

    @Example
    void anExhaustedRateReturnsARetryDelay() {
        AllowanceLedger ledger = ledger();
        assertThat(ledger.admit(ORG, allowance(60_000, 10), 13_000, 0)).isEmpty();
        Duration wait = ledger.admit(ORG, allowance(60_000, 10), 100, 0).orElseThrow();
        assertThat(wait.toSeconds()).isEqualTo(10);
        assertThat(ledger.admit(ORG, allowance(60_000, 10), 100, wait.toNanos() + 1_000_000))
                .isEmpty();
    }

    @Example
    void concurrencyIsBoundedUntilRequestsEnd() {
        AllowanceLedger ledger = ledger();
        Allowance twoConcurrent = allowance(1_000_000, 2);
        assertThat(ledger.admit(ORG, twoConcurrent, 1, 0)).isEmpty();
        assertThat(ledger.admit(ORG, twoConcurrent, 1, 0)).isEmpty();
        assertThat(ledger.admit(ORG, twoConcurrent, 1, 0)).isPresent();
        ledger.settle(ORG, 0);
        assertThat(ledger.admit(ORG, twoConcurrent, 1, 0)).isEmpty();
    }

    @Example
    void unusedTokensAreRefunded() {
        AllowanceLedger ledger = ledger();
        assertThat(ledger.admit(ORG, allowance(60_000, 10), 13_000, 0)).isEmpty();
        ledger.settle(ORG, 12_000);
        assertThat(ledger.admit(ORG, allowance(60_000, 10), 100, 0)).isEmpty();
    }

    @Example
    void aLoweredAllowanceTakesEffectAtOnce() {
        AllowanceLedger ledger = ledger();
        ledger.admit(ORG, allowance(6_000_000, 10), 1_000, 0);
        assertThat(ledger.admit(ORG, allowance(60_000, 1), 100, 0)).isPresent();
    }

    @Example
    void aZoneKeepsItsShareWhileOtherZonesAreUnresponsive() {
        ZoneShares shares = new ZoneShares(zone(0), 0.25);
        ZoneDemand unresponsive = new ZoneDemand(ImmutableMap.of(), false);
        for (int i = 0; i < 200; i++) {
            shares.update(Map.of(zone(1), unresponsive, zone(2), unresponsive));
            assertThat(shares.share(ORG, 1_000_000)).isWithin(1e-9).of(1.0 / 3);
        }
    }

    @Example
    void theShareFollowsDemandDownToAFloor() {
        ZoneShares shares = new ZoneShares(zone(0), 0.25);
        ZoneDemand busy = new ZoneDemand(ImmutableMap.of(ORG, 1_000_000L), true);
        shares.update(Map.of(zone(1), busy));
        assertThat(shares.share(ORG, 0)).isWithin(1e-9).of(0.125);
    }

    @Property(seed = "23", tries = 100)
    void theSharesOfAllZonesStayWithinTheStatedBound(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<ZoneShares> zones = new ArrayList<>();
        double[] demand = new double[ZONES];
        for (int i = 0; i < ZONES; i++) {
            zones.add(new ZoneShares(zone(i), 0.25));
        }
        double[] shares = new double[ZONES];
        double[] reportedDemand = demand.clone();
        int partitionedZone = -1;
        for (int round = 0; round < 300; round++) {
            if (random.nextInt(20) == 0) {
                demand[random.nextInt(ZONES)] = random.nextInt(1_000_000);
            }
            if (random.nextInt(50) == 0) {
                partitionedZone = random.nextInt(ZONES + 1) - 1;
            }
            for (int i = 0; i < ZONES; i++) {
                zones.get(i).update(view(i, reportedDemand, partitionedZone));
                shares[i] = zones.get(i).share(ORG, demand[i]);
            }
            // The other zones receive the demand of a zone one round late.
            reportedDemand = demand.clone();
            double sum = shares[0] + shares[1] + shares[2];
            assertThat(sum).isAtMost(1 + ZONES * ZoneShares.MAX_STEP + 1e-6);
        }
    }

    private static Map<AvailabilityZoneId, ZoneDemand> view(int from, double[] demand, int partitionedZone) {
        Map<AvailabilityZoneId, ZoneDemand> zones = new HashMap<>();
        for (int i = 0; i < ZONES; i++) {
            if (i != from) {
                boolean responsive = i != partitionedZone && from != partitionedZone;
                ImmutableMap<OrganisationId, Long> reported =
                        responsive ? ImmutableMap.of(ORG, (long) demand[i]) : ImmutableMap.of();
                zones.put(zone(i), new ZoneDemand(reported, responsive));
            }
        }
        return zones;
    }

    @Example
    void refusedRequestsCountAsDemand() {
        AllowanceLedger ledger = ledger();
        for (int i = 0; i < 600; i++) {
            Optional<Duration> wait = ledger.admit(ORG, allowance(60, 1), 100, i * 100_000_000L);
            if (wait.isEmpty()) {
                ledger.settle(ORG, 0);
            }
        }
        double perMinute = ledger.demand(600 * 100_000_000L).get(ORG);
        assertThat(perMinute).isWithin(3_000).of(60_000);
    }
}
