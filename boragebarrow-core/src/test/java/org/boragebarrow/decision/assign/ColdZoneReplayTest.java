package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import net.jqwik.api.Example;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.ColdStart;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;

import static com.google.common.truth.Truth.assertThat;

/** Replays zones that are emptied, taken back and cold while more work arrives than their targets bear. */
class ColdZoneReplayTest {
    private static final ServiceName SERVICE = ServiceName.of("service");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final double BEARABLE = 15;
    private static final Duration COLD = Duration.ofSeconds(3);
    private static final int SLOTS = 8;
    private static final int PER_ZONE = 4;
    private static final long ANSWER_MILLIS = 60;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private final Assigner assigner = new Assigner();
    private final List<FleetTarget> targets = new ArrayList<>();
    private final Map<TargetId, List<Long>> arrivals = new HashMap<>();
    private final Deque<Busy> busy = new ArrayDeque<>();
    private long counter;
    private long millis;
    private int refused;

    private record Busy(AttemptId id, long until) {}

    ColdZoneReplayTest() {
        for (String zone : ZONES) {
            for (int i = 0; i < PER_ZONE; i++) {
                targets.add(target(zone, i, 1));
            }
        }
        ImmutableSet<HostId> hosts = ImmutableSet.of(HOST.host());
        apply(new AssignEvent.HostsChanged(hosts, hosts));
        apply(new AssignEvent.ColdStartsChanged(ImmutableMap.of(SERVICE, new ColdStart(COLD, BEARABLE))));
        publish();
    }

    private static FleetTarget target(String zone, int number, long started) {
        return new FleetTarget(
                TargetId.of(zone + number),
                SERVICE,
                Endpoint.of("10.0.0.1", 100 * zone.charAt(0) + number),
                AvailabilityZoneId.of(zone),
                SLOTS,
                false,
                started);
    }

    private void publish() {
        apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
    }

    private void emptied(String... zones) {
        ImmutableSet.Builder<AvailabilityZoneId> all = ImmutableSet.builder();
        for (String zone : zones) {
            all.add(AvailabilityZoneId.of(zone));
        }
        apply(new AssignEvent.ZonesEmptied(all.build()));
    }

    private void apply(AssignEvent event) {
        for (AssignEffect effect : assigner.apply(event, TimeUnit.MILLISECONDS.toNanos(millis))) {
            if (effect instanceof AssignEffect.Assigned assigned) {
                TargetId target = assigned.assignment().target().id();
                arrivals.computeIfAbsent(target, unknown -> new ArrayList<>()).add(millis);
                busy.add(new Busy(assigned.id(), millis + ANSWER_MILLIS));
            }
            refused += effect instanceof AssignEffect.Refused ? 1 : 0;
        }
    }

    /** Lets work arrive every {@code everyMillis} milliseconds. */
    private void run(long forMillis, int everyMillis) {
        for (long end = millis + forMillis; millis < end; millis++) {
            while (!busy.isEmpty() && busy.peek().until() <= millis) {
                apply(new AssignEvent.Ended(busy.poll().id(), Outcome.SUCCEEDED));
            }
            if (millis % everyMillis == 0) {
                submit();
            }
            if (millis % 50 == 0) {
                apply(new AssignEvent.Ticked());
            }
        }
    }

    private void submit() {
        apply(new AssignEvent.Submitted(new Work(
                AttemptId.of(HOST, ++counter),
                SERVICE,
                AvailabilityZoneId.of("a"),
                Optional.empty(),
                Duration.ofSeconds(2),
                Optional.empty(),
                Duration.ZERO,
                Duration.ofSeconds(4),
                ImmutableSet.of(),
                PromptParts.none(),
                0,
                WorkTerms.DEFAULT)));
    }

    private long count(String zone, long from, long until) {
        return arrivals.entrySet().stream()
                .filter(entry -> entry.getKey().value().startsWith(zone))
                .flatMap(entry -> entry.getValue().stream())
                .filter(at -> at >= from && at < until)
                .count();
    }

    private long mostInASecond(long from, long until) {
        long most = 0;
        for (List<Long> times : arrivals.values()) {
            List<Long> during =
                    times.stream().filter(at -> at >= from && at < until).toList();
            for (long end : during) {
                most = Math.max(
                        most,
                        during.stream()
                                .filter(at -> at <= end && at > end - 1_000)
                                .count());
            }
        }
        return most;
    }

    @Example
    void aZoneThatStartsAgainColdAtACrestIsUsedUpToItsPaceAndNoFurther() {
        run(1_000, 3);
        targets.removeIf(target -> target.zone().value().equals("a"));
        publish();
        run(1_000, 3);
        long from = millis;
        for (int i = 0; i < PER_ZONE; i++) {
            targets.add(target("a", i, 2));
        }
        publish();
        run(COLD.toMillis(), 1);

        long cold = targets.stream()
                .filter(target -> target.zone().value().equals("a"))
                .mapToLong(target -> arrivals.get(target.id()).stream()
                        .filter(at -> at >= from)
                        .count())
                .max()
                .orElse(0);
        assertThat(cold).isAtMost((long) BEARABLE * COLD.toSeconds());
        assertThat(count("a", from, millis)).isAtLeast((long) (PER_ZONE * BEARABLE * COLD.toSeconds() / 2));
    }

    @Example
    void targetsThatBecomeColdAgainAtAnyMomentAreSparedFromThenOn() {
        run(500, 2);
        targets.forEach(target ->
                apply(new AssignEvent.ColdReported(target.incarnation(), Optional.of(Duration.ofMillis(2_500)))));
        long from = millis;
        run(2_500, 1);

        assertThat(mostInASecond(from, millis)).isAtMost((long) BEARABLE);
        assertThat(refused).isGreaterThan(0);
        assertThat(count("", from, millis)).isAtLeast((long) (targets.size() * BEARABLE));
    }

    @Example
    void twoZonesEmptiedOneAfterTheOtherUnderFullLoadGetNothingAndReturnByARamp() {
        run(500, 1);
        emptied("a");
        long firstEmptied = millis;
        run(1_000, 1);
        emptied("a", "b");
        long secondEmptied = millis;
        run(1_000, 1);
        assertThat(count("a", firstEmptied, millis)).isEqualTo(0);
        assertThat(count("b", secondEmptied, millis)).isEqualTo(0);
        assertThat(count("c", secondEmptied, millis)).isGreaterThan(0);

        emptied("b");
        long takenBack = millis;
        run(COLD.toMillis(), 1);
        assertThat(count("b", secondEmptied, millis)).isEqualTo(0);
        assertThat(count("a", takenBack, millis)).isAtMost((long) (PER_ZONE * BEARABLE * COLD.toSeconds()));
        assertThat(count("a", takenBack, millis)).isGreaterThan(0);
        run(3_000, 1);
        assertThat(count("a", millis - 500, millis)).isGreaterThan(count("a", takenBack, takenBack + 500));
    }
}
