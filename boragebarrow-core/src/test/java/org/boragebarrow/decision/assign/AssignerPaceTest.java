package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import net.jqwik.api.Example;
import org.boragebarrow.decision.fleet.FleetTarget;
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

/** Replays calls of a plain service to three targets, of which one becomes slow. */
class AssignerPaceTest {
    private static final ServiceName PLAIN = ServiceName.of("plain");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final TargetId SLOW = TargetId.of("target-0");
    private static final long CALL_MILLIS = 40;
    private static final long INTERVAL_MILLIS = 70;

    private final Assigner assigner = new Assigner();
    private final PriorityQueue<Answer> answers = new PriorityQueue<>(Comparator.comparingLong(Answer::at));
    private long nowMillis;
    private long counter;

    private record Answer(long at, AttemptId id) {}

    AssignerPaceTest() {
        List<FleetTarget> targets = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            targets.add(new FleetTarget(
                    TargetId.of("target-" + i),
                    PLAIN,
                    Endpoint.of("10.0.0." + (i + 1), 80),
                    AvailabilityZoneId.of("zone-" + i),
                    6,
                    false,
                    1));
        }
        apply(new AssignEvent.ProfilesChanged(ImmutableMap.of()));
        apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
    }

    private ImmutableList<AssignEffect> apply(AssignEvent event) {
        return assigner.apply(event, TimeUnit.MILLISECONDS.toNanos(nowMillis));
    }

    /** Sends calls for the given time and returns how many each target was assigned. */
    private Multiset<TargetId> run(long millis, int slowness) {
        Multiset<TargetId> assigned = HashMultiset.create();
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += INTERVAL_MILLIS) {
            while (!answers.isEmpty() && answers.peek().at() <= nowMillis) {
                apply(new AssignEvent.Ended(answers.poll().id(), Outcome.SUCCEEDED));
            }
            Work work = work();
            AssignEffect effect = apply(new AssignEvent.Submitted(work)).get(0);
            TargetId target =
                    ((AssignEffect.Assigned) effect).assignment().target().id();
            assigned.add(target);
            long time = CALL_MILLIS * (target.equals(SLOW) ? slowness : 1);
            answers.add(new Answer(nowMillis + time, work.id()));
        }
        return assigned;
    }

    private Work work() {
        return new Work(
                AttemptId.of(HOST, ++counter),
                PLAIN,
                AvailabilityZoneId.of("zone-" + counter % 3),
                Optional.empty(),
                Duration.ofMillis(250),
                Optional.empty(),
                Duration.ZERO,
                Duration.ofSeconds(2),
                ImmutableSet.of(),
                PromptParts.none(),
                0,
                WorkTerms.DEFAULT);
    }

    @Example
    void aSlowTargetGetsFewCallsAndARecoveredOneItsShareWithinSeconds() {
        Multiset<TargetId> before = run(20_000, 1);
        run(4_000, 8);
        Multiset<TargetId> slow = run(26_000, 8);
        run(7_000, 1);
        Multiset<TargetId> after = run(13_000, 1);

        assertThat(before.count(SLOW)).isWithin(before.size() / 20).of(before.size() / 3);
        assertThat(slow.count(SLOW)).isAtLeast(1);
        assertThat(slow.count(SLOW)).isLessThan(slow.size() / 15);
        assertThat(after.count(SLOW)).isWithin(after.size() / 20).of(after.size() / 3);
    }

    /** Guards against a comparison with a fixed time: a service that is slow as a whole has no slow target. */
    @Example
    void aServiceWhoseCallsAllTakeLongHasNoSlowTarget() {
        run(20_000, 1);
        for (int i = 0; i < 400; i++) {
            nowMillis += INTERVAL_MILLIS;
            Work work = work();
            apply(new AssignEvent.Submitted(work));
            nowMillis += 8 * CALL_MILLIS;
            apply(new AssignEvent.Ended(work.id(), Outcome.SUCCEEDED));
        }

        assertThat(assigner.slowTargets()).isEmpty();
    }
}
