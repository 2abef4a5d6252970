package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.UrgencyRank;

/**
 * Replays calls of a plain service against an {@link Assigner} and simulated targets.
 *
 * <p>A refused caller returns once after the retry delay, of which it waits a third of its remaining time at most; its
 * objective counts from its first arrival, which the assigner does not know. A caller that repeats at once returns eight
 * times, 10 ms after each refusal.
 */
final class SimulatedCalls {
    private static final ServiceName SERVICE = ServiceName.of("plain");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final AvailabilityZoneId ZONE = AvailabilityZoneId.of("zone");
    private static final double TICK_MILLIS = 50;
    private static final int MAX_REPEATS = 8;
    private static final double REPEAT_MILLIS = 10;

    private final Assigner assigner = new Assigner();
    private final Random random;
    private final double meanMillis;
    private final List<FleetTarget> targets = new ArrayList<>();
    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private final Map<AttemptId, Call> open = new HashMap<>();
    private final Map<String, Tally> tallies = new LinkedHashMap<>();
    private final List<Double> returns = new ArrayList<>();
    private long counter;
    private double now;

    /** Callers with the same terms; {@code rate} is in calls per second. */
    record Kind(
            String name,
            String organisation,
            int rank,
            double rate,
            int objectiveMillis,
            int limitMillis,
            boolean repeatsAtOnce) {}

    private record Step(double at, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class Call {
        final Kind kind;
        final long key;
        final double arrivedAt;
        int refusals;
        AttemptId attempt;

        Call(Kind kind, long key, double arrivedAt) {
            this.kind = kind;
            this.key = key;
            this.arrivedAt = arrivedAt;
        }
    }

    /** What became of the calls of one kind; callers that were refused and gave up are in {@code refused}. */
    static final class Tally {
        int submitted;
        int onTime;
        int late;
        int refused;
        int expired;

        double onTimeFraction() {
            return (double) onTime / submitted;
        }

        double servedFraction() {
            return (double) (onTime + late) / submitted;
        }
    }

    SimulatedCalls(long seed, int targetCount, int slots, double meanMillis) {
        this.random = new Random(seed);
        this.meanMillis = meanMillis;
        for (int i = 0; i < targetCount; i++) {
            TargetId id = TargetId.of("t" + i);
            targets.add(new FleetTarget(id, SERVICE, Endpoint.of("10.0.0." + (i + 1), 80), ZONE, slots, false, 1));
        }
        send(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
    }

    void removeTarget() {
        targets.remove(0);
        send(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
    }

    /** Calls arrive from now on for the given time, evenly apart from a jitter. */
    void arrive(Kind kind, double seconds) {
        int count = (int) (kind.rate() * seconds);
        for (int i = 0; i < count; i++) {
            double at = now + (i + random.nextDouble()) * 1_000 / kind.rate();
            at(at, () -> submit(new Call(kind, ++counter, now)));
        }
    }

    void run(double seconds) {
        double end = now + seconds * 1_000;
        for (double tick = now + TICK_MILLIS; tick < end; tick += TICK_MILLIS) {
            at(tick, () -> send(new AssignEvent.Ticked()));
        }
        while (!steps.isEmpty() && steps.peek().at() <= end) {
            Step step = steps.remove();
            now = step.at();
            step.action().run();
        }
        now = end;
    }

    private void at(double time, Runnable action) {
        steps.add(new Step(time, ++counter, action));
    }

    private Tally tallyOf(Call call) {
        return tallies.computeIfAbsent(call.kind.name(), name -> new Tally());
    }

    private void submit(Call call) {
        if (call.refusals == 0) {
            tallyOf(call).submitted++;
        }
        double age = now - call.arrivedAt;
        AttemptId attempt = AttemptId.of(HOST, ++counter);
        call.attempt = attempt;
        open.put(attempt, call);
        at(call.arrivedAt + call.kind.limitMillis(), () -> expire(call, attempt));
        WorkTerms terms = new WorkTerms(
                Optional.of(OrganisationId.of(call.kind.organisation())),
                1,
                UrgencyRank.of(call.kind.rank()),
                Optional.empty(),
                WorkTerms.Purpose.FIRST,
                call.key);
        send(new AssignEvent.Submitted(new Work(
                attempt,
                SERVICE,
                ZONE,
                Optional.empty(),
                Duration.ofMillis(call.kind.objectiveMillis()),
                Optional.empty(),
                Duration.ZERO,
                Duration.ofMillis((long) (call.kind.limitMillis() - age)),
                ImmutableSet.of(),
                PromptParts.none(),
                0,
                terms)));
    }

    private void send(AssignEvent event) {
        for (AssignEffect effect : assigner.apply(event, TimeUnit.MICROSECONDS.toNanos((long) (now * 1_000)))) {
            switch (effect) {
                case AssignEffect.Refused refused -> refuse(open.remove(refused.id()), refused);
                case AssignEffect.Assigned assigned -> serve(assigned.id());
                case AssignEffect.Queued ignored -> {}
                case AssignEffect.PauseExpected ignored -> {}
                case AssignEffect.Concluded concluded -> throw new AssertionError(concluded);
            }
        }
    }

    private void refuse(Call call, AssignEffect.Refused refused) {
        call.refusals++;
        double third = (call.arrivedAt + call.kind.limitMillis() - now) / 3;
        double delay = call.kind.repeatsAtOnce()
                ? REPEAT_MILLIS
                : Math.min(third, refused.retryAfter().toMillis());
        if (call.refusals > (call.kind.repeatsAtOnce() ? MAX_REPEATS : 1)) {
            tallyOf(call).refused++;
            return;
        }
        returns.add(now + delay);
        at(now + delay, () -> submit(call));
    }

    private void serve(AttemptId attempt) {
        at(now + meanMillis * (0.7 + 0.6 * random.nextDouble()), () -> answer(attempt));
    }

    private void answer(AttemptId attempt) {
        Call call = open.remove(attempt);
        if (call == null) {
            return;
        }
        boolean onTime = now - call.arrivedAt <= call.kind.objectiveMillis();
        tallyOf(call).onTime += onTime ? 1 : 0;
        tallyOf(call).late += onTime ? 0 : 1;
        send(new AssignEvent.Ended(attempt, Outcome.SUCCEEDED));
    }

    private void expire(Call call, AttemptId attempt) {
        if (open.remove(attempt) != null) {
            tallyOf(call).expired++;
            send(new AssignEvent.Ended(attempt, Outcome.WITHDRAWN));
        }
    }

    /** Returns the totals of the kind with the given name. */
    Tally tally(String name) {
        return tallies.get(name);
    }

    /** Returns the highest number of refused callers that return within any interval of the given length. */
    int mostReturnsWithin(double millis) {
        int most = 0;
        for (double from : returns) {
            int count = 0;
            for (double at : returns) {
                count += at >= from && at < from + millis ? 1 : 0;
            }
            most = Math.max(most, count);
        }
        return most;
    }
}
