package org.boragebarrow.decision.assign;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;
import org.boragebarrow.decision.fleet.FleetTarget;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.PromptParts;
import org.boragebarrow.model.ServiceName;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.UrgencyRank;

/**
 * Replays a load against an {@link Assigner} and simulated engines, and sums the value that callers gained.
 *
 * <p>A caller gains the full value of an answer that starts within its objective and has no pause over its objective, a
 * quarter of it for a later answer, and nothing if it disconnected before the end, as it does after a long time without
 * an event. A refused caller retries once.
 */
final class SimulatedLoad {
    /** The profile of the engines in use. */
    static final EngineProfile ENGINE =
            new EngineProfile(11, 405_000, 1.31, 0.00133, 0.00213, 154, 0.162, 2_048, 34, 1_266);

    private static final ServiceName MODEL = ServiceName.of("model");
    private static final HostIncarnation HOST = HostIncarnation.of(HostId.of("host"), IncarnationNumber.of(1));
    private static final double LATE_VALUE_FRACTION = 0.25;
    private static final long TICK_MILLIS = 50;

    /** Maximum factor of a phase. */
    private static final double MAX_FACTOR = 3;

    private static final double WAVE_AMPLITUDE = 0.55;
    private static final double WAVE_PERIOD_MILLIS = 15_000;

    private final Random random;
    private final EngineProfile profile;
    private final Assigner assigner = new Assigner();
    private final List<FleetTarget> targets = new ArrayList<>();
    private final Map<TargetId, SimulatedEngine> engines = new LinkedHashMap<>();
    private final Map<AttemptId, SimulatedRequest> active = new HashMap<>();
    private final Set<SimulatedRequest> retried = new HashSet<>();
    private final Set<SimulatedRequest> firstEventReported = new HashSet<>();
    private final List<Retry> retries = new ArrayList<>();
    private final Map<Kind, Tally> tallies = new LinkedHashMap<>();
    private final Multiset<TargetId> assignedTo = HashMultiset.create();
    private int slowFirst;
    private int slowOthers;
    private Map<String, UrgencyRank> ranks = Map.of();
    private long attempts;
    private double now;

    /** A kind of prompt; {@code rate} is in arrivals per second. */
    record Kind(
            String name,
            double rate,
            double meanTokens,
            double spread,
            double maxTokens,
            double meanEvents,
            int objectiveMillis,
            int pauseMillis,
            double value) {}

    /** Factors that apply to the rates of the kinds, by name, from the time {@code from}, in seconds. */
    record Phase(double from, Map<String, Double> factors) {}

    private record Retry(double at, SimulatedRequest request) {}

    /** Totals over the callers of one kind. */
    static final class Tally {
        double possibleValue;
        double gainedValue;
        int submitted;
        int refused;
        int late;
        int abandoned;

        double valueFraction() {
            return possibleValue == 0 ? 1 : gainedValue / possibleValue;
        }

        @Override
        public String toString() {
            return String.format(
                    "%.3f of %.0f (submitted %d, late %d, refused %d, abandoned %d)",
                    valueFraction(), possibleValue, submitted, late, refused, abandoned);
        }
    }

    SimulatedLoad(long seed, int engineCount) {
        this(seed, engineCount, ENGINE);
    }

    /** Creates a load of engines with the given profile, each of whose passes sends one event of an answer. */
    SimulatedLoad(long seed, int engineCount, EngineProfile profile) {
        this.random = new Random(seed);
        this.profile = profile;
        for (int i = 0; i < engineCount; i++) {
            FleetTarget target = new FleetTarget(
                    TargetId.of("engine-" + i),
                    MODEL,
                    Endpoint.of("10.0." + i / 250 + "." + (i % 250 + 1), 80),
                    AvailabilityZoneId.of("zone-" + i % 3),
                    profile.slots(),
                    false,
                    1);
            targets.add(target);
            engines.put(target.id(), new SimulatedEngine(profile));
        }
        assigner.apply(new AssignEvent.ProfilesChanged(ImmutableMap.of(MODEL, profile)), 0);
        assigner.apply(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)), 0);
    }

    /** Removes targets; the requests that they answer or help with fail. */
    void removeTargets(int count) {
        for (int i = 0; i < count; i++) {
            FleetTarget removed = targets.remove(0);
            SimulatedEngine engine = engines.remove(removed.id());
            for (SimulatedRequest request : List.copyOf(active.values())) {
                if (engine.hasPartOf(request)) {
                    active.remove(request.work.id());
                    engines.values().forEach(other -> other.cancel(request));
                    send(new AssignEvent.Ended(request.work.id(), Outcome.FAILED));
                }
            }
        }
        send(new AssignEvent.FleetChanged(ImmutableList.copyOf(targets)));
    }

    /** Makes the first engines work slower by the factor from now on. */
    void setSlowness(int count, double factor) {
        targets.subList(0, count).forEach(target -> engines.get(target.id()).setSlowness(factor));
    }

    /** Returns the prompts that were assigned to the first engine to answer. */
    int assignedToFirst() {
        return assignedTo.count(targets.get(0).id());
    }

    /** Returns the decisions at which the assigner took the first engine for slow, and those at which it took another. */
    Slow slow() {
        return new Slow(slowFirst, slowOthers);
    }

    /** Counts of decisions. */
    record Slow(int first, int others) {}

    /** Runs the simulation for the given time, in seconds. */
    void run(List<Kind> kinds, List<Phase> phases, double seconds) {
        double end = now + seconds * 1_000;
        Map<Kind, Double> next = new HashMap<>();
        for (Kind kind : kinds) {
            tallies.computeIfAbsent(kind, key -> new Tally());
            next.put(kind, nextArrival(kind, phases));
        }
        double tick = now + TICK_MILLIS;
        while (now < end) {
            double at = Math.min(end, tick);
            Kind arriving = null;
            for (Map.Entry<Kind, Double> entry : next.entrySet()) {
                if (entry.getValue() < at) {
                    at = entry.getValue();
                    arriving = entry.getKey();
                }
            }
            SimulatedEngine engine = null;
            for (SimulatedEngine other : engines.values()) {
                if (other.passEndsAt() >= 0 && other.passEndsAt() < at) {
                    at = other.passEndsAt();
                    engine = other;
                }
            }
            now = at;
            if (engine != null) {
                engine.endPass(now);
                reportProgress();
            } else if (arriving != null) {
                arrive(arriving);
                next.put(arriving, nextArrival(arriving, phases));
            } else if (at == tick) {
                tick += TICK_MILLIS;
                onTick();
            }
        }
    }

    /**
     * Returns the time of the next arrival: a Poisson process with the phase's rate times a sine wave, drawn by
     * thinning.
     */
    private double nextArrival(Kind kind, List<Phase> phases) {
        double at = now;
        double end = 1_000 * phases.get(phases.size() - 1).from();
        while (true) {
            double maxRate = kind.rate() * MAX_FACTOR * (1 + WAVE_AMPLITUDE);
            at += -Math.log(1 - random.nextDouble()) / maxRate * 1_000;
            if (at > end) {
                return Double.MAX_VALUE;
            }
            double wave = 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * at / WAVE_PERIOD_MILLIS);
            double rate = kind.rate() * factor(kind, phases, at) * wave;
            if (random.nextDouble() * maxRate < rate) {
                return at;
            }
        }
    }

    private static double factor(Kind kind, List<Phase> phases, double at) {
        double factor = 1;
        for (Phase phase : phases) {
            if (at >= phase.from() * 1_000) {
                factor = phase.factors().getOrDefault(kind.name(), 1.0);
            }
        }
        return factor;
    }

    /** Sets the ranks of kinds, by name; all others have the default one. */
    void setRanks(Map<String, UrgencyRank> newRanks) {
        ranks = newRanks;
    }

    private WorkTerms terms(Kind kind) {
        return new WorkTerms(
                Optional.empty(),
                1,
                ranks.getOrDefault(kind.name(), UrgencyRank.DEFAULT),
                Optional.empty(),
                WorkTerms.Purpose.FIRST,
                0);
    }

    private void arrive(Kind kind) {
        double scale = kind.meanTokens() / Math.exp(kind.spread() * kind.spread() / 2);
        double tokens = Math.min(kind.maxTokens(), scale * Math.exp(kind.spread() * random.nextGaussian()));
        int events = (int) Math.max(1, kind.meanEvents() * Math.exp(0.6 * random.nextGaussian() - 0.18));
        double expectedAnswer = events * profile.stepsPerPass() * Math.exp(0.5 * random.nextGaussian());
        Work work = new Work(
                AttemptId.of(HOST, ++attempts),
                MODEL,
                AvailabilityZoneId.of("zone-" + random.nextInt(3)),
                Optional.of(new PromptSize((long) tokens, (long) expectedAnswer)),
                Duration.ofMillis(kind.objectiveMillis()),
                Optional.of(Duration.ofMillis(kind.pauseMillis())),
                Duration.ZERO,
                Duration.ofSeconds(10),
                ImmutableSet.of(),
                PromptParts.none(),
                0,
                terms(kind));
        SimulatedRequest request = new SimulatedRequest(work, kind, events, now);
        Tally tally = tallies.get(kind);
        tally.submitted++;
        tally.possibleValue += value(request);
        submit(request);
    }

    private static double value(SimulatedRequest request) {
        double size = request.work.size().orElseThrow().promptTokens() / request.kind.meanTokens();
        return Math.min(4, 0.3 + 0.7 * size) * request.kind.value();
    }

    private void submit(SimulatedRequest request) {
        active.put(request.work.id(), request);
        send(new AssignEvent.Submitted(request.work.withElapsed(Duration.ofMillis((long) (now - request.arrivedAt)))));
    }

    private void send(AssignEvent event) {
        ImmutableList<AssignEffect> effects =
                assigner.apply(event, TimeUnit.MICROSECONDS.toNanos((long) (now * 1_000)));
        Set<TargetId> slow = assigner.slowTargets().keySet();
        boolean first = !targets.isEmpty() && slow.contains(targets.get(0).id());
        slowFirst += first ? 1 : 0;
        slowOthers += slow.size() > (first ? 1 : 0) ? 1 : 0;
        for (AssignEffect effect : effects) {
            switch (effect) {
                case AssignEffect.Queued ignored -> {}
                case AssignEffect.PauseExpected ignored -> {}
                case AssignEffect.Refused refused -> refuse(active.get(refused.id()), refused);
                case AssignEffect.Assigned assigned -> place(active.get(assigned.id()), assigned.assignment());
                case AssignEffect.Concluded concluded -> throw new AssertionError(concluded);
            }
        }
    }

    private void refuse(SimulatedRequest request, AssignEffect.Refused refused) {
        active.remove(request.work.id());
        if (retried.add(request)) {
            retries.add(new Retry(now + refused.retryAfter().toMillis(), request));
        } else {
            tallies.get(request.kind).refused++;
        }
    }

    private void place(SimulatedRequest request, Assignment assignment) {
        int parts = assignment.helpers().size() + 1;
        request.setParts(parts);
        assignedTo.add(assignment.target().id());
        double tokens = (double) request.work.size().orElseThrow().promptTokens() / parts;
        for (HelperTarget helper : assignment.helpers()) {
            engines.get(helper.target().id()).add(new SimulatedEngine.Part(request, true, tokens), now);
        }
        engines.get(assignment.target().id()).add(new SimulatedEngine.Part(request, false, tokens), now);
    }

    private void reportProgress() {
        for (SimulatedRequest request : List.copyOf(active.values())) {
            if (request.hasFirstEvent() && firstEventReported.add(request)) {
                send(new AssignEvent.FirstEventSeen(request.work.id()));
            }
            if (request.isDone()) {
                active.remove(request.work.id());
                recordAnswer(request);
                send(new AssignEvent.Ended(request.work.id(), Outcome.SUCCEEDED));
            }
        }
    }

    private void recordAnswer(SimulatedRequest request) {
        Tally tally = tallies.get(request.kind);
        boolean onTime = request.timeToFirstEventMillis() + 12 <= request.kind.objectiveMillis()
                && request.longestPause() <= request.kind.pauseMillis();
        tally.late += onTime ? 0 : 1;
        tally.gainedValue += value(request) * (onTime ? 1 : LATE_VALUE_FRACTION);
    }

    private void onTick() {
        for (Retry retry : List.copyOf(retries)) {
            if (retry.at() <= now) {
                retries.remove(retry);
                submit(retry.request());
            }
        }
        for (SimulatedRequest request : List.copyOf(active.values())) {
            double abandonment = CostModel.abandonmentMillis(request.work);
            if (now - request.lastEventOrArrivalAt() > abandonment) {
                active.remove(request.work.id());
                engines.values().forEach(engine -> engine.cancel(request));
                tallies.get(request.kind).abandoned++;
                send(new AssignEvent.Ended(request.work.id(), Outcome.WITHDRAWN));
            }
        }
        if (assigner.hasQueuedWork()) {
            send(new AssignEvent.Ticked());
        }
    }

    /** Returns the number of engines without any work. */
    int idleEngines() {
        return (int) engines.values().stream().filter(SimulatedEngine::isIdle).count();
    }

    /** Returns the totals of the kind with the given name. */
    Tally tally(String name) {
        for (Map.Entry<Kind, Tally> entry : tallies.entrySet()) {
            if (entry.getKey().name().equals(name)) {
                return entry.getValue();
            }
        }
        throw new IllegalArgumentException("no kind of prompt with name \"" + name + "\"");
    }

    /** Returns the fraction of the possible value that all callers gained. */
    double valueFraction() {
        double possible = 0;
        double gained = 0;
        for (Tally tally : tallies.values()) {
            possible += tally.possibleValue;
            gained += tally.gainedValue;
        }
        return gained / possible;
    }
}
