package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

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

/** Replays calls whose hosts request second copies of late ones, against six targets of a plain service. */
class SecondCopyReplayTest {
    private static final ServiceName PLAIN = ServiceName.of("plain");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final long CALL_MILLIS = 40;
    private static final long INTERVAL_MILLIS = 25;
    private static final long LIMIT_MILLIS = 2_000;
    private static final double SHARE = 0.05;

    private Assigner assigner = new Assigner();
    private final Random random = new Random(4);
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::at).thenComparingLong(Step::number));
    private final List<FleetTarget> targets = new ArrayList<>();
    private final Map<AttemptId, Call> calls = new HashMap<>();
    private final List<Long> times = new ArrayList<>();
    private ToLongFunction<TargetId> callMillis = target -> CALL_MILLIS + random.nextInt(10);
    private boolean cancelsArrive = true;
    private boolean duplicable = true;
    private long nowMillis;
    private long counter;
    private int copies;
    private int copiesRefused;

    private record Step(long at, long number, Runnable action) {}

    /** A call and its attempts in progress. */
    private static final class Call {
        private final long startedAt;
        private final List<AttemptId> attempts = new ArrayList<>();
        private boolean done;

        Call(long startedAt) {
            this.startedAt = startedAt;
        }
    }

    SecondCopyReplayTest() {
        for (int i = 0; i < 6; i++) {
            targets.add(new FleetTarget(
                    TargetId.of("target-" + i),
                    PLAIN,
                    Endpoint.of("10.0.0." + (i + 1), 80),
                    AvailabilityZoneId.of("zone-" + i % 3),
                    6,
                    false,
                    1));
        }
        configure();
    }

    private void configure() {
        apply(new AssignEvent.ProfilesChanged(ImmutableMap.of()));
        apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
        apply(new AssignEvent.DuplicateShareChanged(SHARE));
    }

    private void apply(AssignEvent event) {
        for (AssignEffect effect : assigner.apply(event, TimeUnit.MILLISECONDS.toNanos(nowMillis))) {
            switch (effect) {
                case AssignEffect.Assigned assigned -> onAssigned(assigned);
                case AssignEffect.Refused refused -> copiesRefused++;
                default -> {}
            }
        }
    }

    private void in(long millis, Runnable action) {
        steps.add(new Step(nowMillis + millis, ++counter, action));
    }

    private void onAssigned(AssignEffect.Assigned assigned) {
        Call call = calls.get(assigned.id());
        call.attempts.add(assigned.id());
        TargetId target = assigned.assignment().target().id();
        in(callMillis.applyAsLong(target), () -> onAnswer(call, assigned.id()));
        assigned.assignment().lateAfter().ifPresent(time -> in(time.toMillis(), () -> requestCopy(call, target)));
    }

    private void requestCopy(Call call, TargetId first) {
        if (call.done) {
            return;
        }
        Work copy = work(WorkTerms.Purpose.DUPLICATE, ImmutableSet.of(first));
        calls.put(copy.id(), call);
        int before = call.attempts.size();
        apply(new AssignEvent.Submitted(copy));
        copies += call.attempts.size() - before;
    }

    private void onAnswer(Call call, AttemptId answering) {
        if (call.done) {
            return;
        }
        call.done = true;
        times.add(nowMillis - call.startedAt);
        for (AttemptId attempt : call.attempts) {
            boolean won = attempt.equals(answering);
            if (won || cancelsArrive) {
                apply(new AssignEvent.Ended(attempt, won ? Outcome.SUCCEEDED : Outcome.WITHDRAWN));
            }
        }
    }

    private Work work(WorkTerms.Purpose purpose, ImmutableSet<TargetId> excluded) {
        return new Work(
                AttemptId.of(HOST, ++counter),
                PLAIN,
                AvailabilityZoneId.of("zone-" + random.nextInt(3)),
                Optional.empty(),
                Duration.ofMillis(250),
                Optional.empty(),
                Duration.ZERO,
                Duration.ofMillis(LIMIT_MILLIS),
                excluded,
                PromptParts.none(),
                0,
                WorkTerms.DEFAULT.withPurpose(purpose).withDuplicable(duplicable));
    }

    /** Sends calls for the given time and awaits the answers to all. */
    private void run(long millis) {
        long end = nowMillis + millis;
        for (long at = 0; at < millis; at += INTERVAL_MILLIS) {
            in(at, () -> {
                Work work = work(WorkTerms.Purpose.FIRST, ImmutableSet.of());
                calls.put(work.id(), new Call(nowMillis));
                apply(new AssignEvent.Submitted(work));
            });
        }
        while (!steps.isEmpty()) {
            Step step = steps.poll();
            nowMillis = step.at();
            step.action().run();
        }
        nowMillis = Math.max(nowMillis, end);
    }

    private long percentile(int percent) {
        List<Long> sorted = times.stream().sorted().toList();
        return sorted.get((int) Math.ceil(sorted.size() * percent / 100.0) - 1);
    }

    private void warmUp() {
        run(10_000);
        times.clear();
        copies = 0;
        copiesRefused = 0;
    }

    private void hangOneCallInFifty() {
        callMillis = target -> random.nextInt(50) == 0 ? LIMIT_MILLIS - 1 : CALL_MILLIS + random.nextInt(10);
    }

    /** Load pattern: targets that hang one call in fifty, and are sound otherwise. */
    @Example
    void callsThatHangAreAnsweredByTheirCopies() {
        warmUp();
        hangOneCallInFifty();
        run(60_000);

        assertThat(percentile(99)).isLessThan(250);
        assertThat(copies).isAtLeast(30);
        assertThat((double) copies).isAtMost(SHARE * times.size());
        assertThat(assigner.assignedCount()).isEqualTo(0);
    }

    @Example
    void callsThatHangTakeAllTheirTimeIfTheyMayNotBeRepeated() {
        duplicable = false;
        warmUp();
        hangOneCallInFifty();
        run(60_000);

        assertThat(percentile(99)).isEqualTo(LIMIT_MILLIS - 1);
        assertThat(copies).isEqualTo(0);
    }

    /** Load pattern: one of six targets works at an eighth of its pace. */
    @Example
    void theCallsOfATargetThatBecameSlowAreAnsweredByTheirCopies() {
        warmUp();
        callMillis = target -> CALL_MILLIS * (target.equals(TargetId.of("target-0")) ? 8 : 1);
        run(30_000);

        assertThat(percentile(99)).isLessThan(150);
        assertThat(copies).isAtLeast(2);
        assertThat((double) copies).isAtMost(SHARE * times.size());
        assertThat(assigner.assignedCount()).isEqualTo(0);
    }

    /** Load pattern: all targets become slow at once, when copies would only add work. */
    @Example
    void whileAllTargetsAreSlowHardlyAnyCopyIsSent() {
        warmUp();
        callMillis = target -> 5 * CALL_MILLIS;
        run(30_000);

        assertThat(copiesRefused).isAtLeast(20);
        assertThat(copies).isAtMost(2);
    }

    @Example
    void whatIsLeftAfterALostCancelExpiresAndOfALostHostEndsAtOnce() {
        cancelsArrive = false;
        warmUp();
        hangOneCallInFifty();
        run(20_000);
        assertThat(copies).isAtLeast(1);
        nowMillis += LIMIT_MILLIS + 1_500;
        Work later = work(WorkTerms.Purpose.FIRST, ImmutableSet.of());
        calls.put(later.id(), new Call(nowMillis));
        apply(new AssignEvent.Submitted(later));
        assertThat(assigner.assignedCount()).isEqualTo(1);
        apply(new AssignEvent.HostLost(HOST.host()));

        assertThat(assigner.assignedCount()).isEqualTo(0);
    }

    @Example
    void noCopyIsSentSoonAfterATargetOfTheServiceCrashed() {
        warmUp();
        hangOneCallInFifty();
        Work crashing = work(WorkTerms.Purpose.FIRST, ImmutableSet.of());
        calls.put(crashing.id(), new Call(nowMillis));
        apply(new AssignEvent.Submitted(crashing));
        apply(new AssignEvent.Ended(crashing.id(), Outcome.ABORTED));
        run(7_000);

        assertThat(copiesRefused).isAtLeast(1);
        assertThat(copies).isEqualTo(0);
    }

    /** Guards against copies that use up what cold targets bear. */
    @Example
    void noCopyIsSentToAColdTarget() {
        warmUp();
        callMillis = target ->
                target.equals(TargetId.of("target-0")) && random.nextInt(5) == 0 ? LIMIT_MILLIS - 1 : CALL_MILLIS;
        ImmutableSet<HostId> hosts = ImmutableSet.of(HOST.host());
        apply(new AssignEvent.HostsChanged(hosts, hosts));
        apply(new AssignEvent.ColdStartsChanged(ImmutableMap.of(PLAIN, new ColdStart(Duration.ofSeconds(30), 100))));
        for (FleetTarget target : targets.subList(1, 6)) {
            apply(new AssignEvent.ColdReported(target.incarnation(), Optional.of(Duration.ofSeconds(30))));
        }
        run(7_000);

        assertThat(copies).isEqualTo(0);
        assertThat(copiesRefused).isAtLeast(1);
    }

    @Example
    void anAssignerThatTakesOverSendsNoCopiesOfRequestsThatItHasNotSeen() {
        warmUp();
        callMillis = target -> LIMIT_MILLIS - 1;
        Work work = work(WorkTerms.Purpose.FIRST, ImmutableSet.of());
        Call call = new Call(nowMillis);
        calls.put(work.id(), call);
        apply(new AssignEvent.Submitted(work));
        assigner = new Assigner();
        configure();
        TargetId first = TargetId.of("target-0");
        apply(new AssignEvent.AssignmentReported(work, first, ImmutableList.of(), false));
        requestCopy(call, first);

        assertThat(copiesRefused).isEqualTo(1);
        assertThat(copies).isEqualTo(0);
        apply(new AssignEvent.Ended(work.id(), Outcome.WITHDRAWN));
        assertThat(assigner.assignedCount()).isEqualTo(0);
    }
}
