package org.boragebarrow.ctl.load;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Range;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static com.google.common.truth.Truth.assertThat;

class ArrivalPlanTest {
    private static final String BASE = "[rate]\nbase = 10\n";

    private static ImmutableList<Arrival> ofClass(ImmutableList<Arrival> plan, String name) {
        return plan.stream().filter(each -> each.id().startsWith(name)).collect(ImmutableList.toImmutableList());
    }

    private static long between(ImmutableList<Arrival> plan, int from, int to) {
        Range<Long> range = Range.closedOpen(Rate.nanos(from), Rate.nanos(to));
        return plan.stream()
                .filter(each -> range.contains(each.intendedNanos()))
                .count();
    }

    @Example
    void theSameSeedGivesTheSamePlan() {
        assertThat(ArrivalPlan.of(Scenarios.simple())).isEqualTo(ArrivalPlan.of(Scenarios.simple()));
    }

    @Example
    void anotherSeedGivesAnotherPlan() {
        Scenario other = ScenarioReader.read(Scenarios.text("", BASE).replace("seed = 7", "seed = 8"));
        assertThat(ArrivalPlan.of(other)).isNotEqualTo(ArrivalPlan.of(Scenarios.of("", BASE)));
    }

    @Example
    void excludingAClassDoesNotChangeTheOthers() {
        Scenario scenario = Scenarios.simple();
        ImmutableList<Arrival> restricted = ArrivalPlan.of(scenario.restrictedTo(ImmutableSet.of("short")));
        assertThat(restricted).isEqualTo(ofClass(ArrivalPlan.of(scenario), "short"));
    }

    @Example
    void arrivalsAreSortedByTime() {
        assertThat(ArrivalPlan.of(Scenarios.simple()).stream()
                        .map(Arrival::intendedNanos)
                        .toList())
                .isInOrder();
    }

    @Example
    void classesArriveInProportionToTheirWeights() {
        ImmutableList<Arrival> plan = ArrivalPlan.of(Scenarios.simple());
        assertThat(plan.size()).isIn(Range.closed(900, 1_100));
        assertThat(ofClass(plan, "long").size()).isIn(Range.closed(70, 130));
    }

    @Example
    void theRampTriplesTheRate() {
        String ramp = "[rate]\nbase = 10\ncrest = 30\nswing-start-s = 40\nswing-length-s = 5\n";
        ImmutableList<Arrival> plan = ArrivalPlan.of(Scenarios.of("", ramp));
        assertThat(between(plan, 0, 40)).isIn(Range.closed(340L, 460L));
        assertThat(between(plan, 45, 85)).isIn(Range.closed(1_080L, 1_320L));
    }

    @Example
    void aFloodAddsRequestsOfItsOrganisationOnlyDuringItsDuration() {
        String flood = BASE + "[organisation c]\nkey = trial:c\nshare = 0\n"
                + "flood-rate = 50\nflood-start-s = 20\nflood-length-s = 10\n";
        ImmutableList<Arrival> plan = ofClass(ArrivalPlan.of(Scenarios.of("", flood)), "flood-c");
        assertThat(plan.size()).isIn(Range.closed(400, 600));
        assertThat(between(plan, 20, 30)).isEqualTo(plan.size());
    }

    @Example
    void pathsOfCallsContainTheirNumbers() {
        String service = BASE + "[service stock]\nshare = 0.5\npath = /stock?item={n}\n";
        ImmutableList<Arrival> plan = ofClass(ArrivalPlan.of(Scenarios.of("", service)), "stock");
        Arrival.Call second = (Arrival.Call) plan.get(1).work();
        assertThat(second.path()).isEqualTo("/stock?item=1");
    }

    @Property(seed = "5", tries = 200)
    void drawnLengthsAreWithinTheirRange(@ForAll long seed) {
        TokenRange range = new TokenRange(200, 4_000);
        int tokens = range.draw(new java.util.SplittableRandom(seed));
        assertThat(tokens).isIn(Range.closed(range.min(), range.max()));
    }
}
