package org.boragebarrow.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import org.HdrHistogram.Histogram;
import org.boragebarrow.decision.dispatch.DispatchEffect;
import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.decision.dispatch.DispatchSettings;
import org.boragebarrow.decision.dispatch.Dispatcher;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.PlacementPolicy;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostLife;
import org.boragebarrow.model.Incarnation;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.TargetId;

/** Runs requests through a dispatcher and simulated engines, in simulated time. */
final class Simulation {
    private static final long TICK_NANOS = Duration.ofMillis(10).toNanos();
    private static final long REPORT_NANOS = Duration.ofMillis(250).toNanos();
    private static final long LIMIT_NANOS = Duration.ofSeconds(120).toNanos();
    private static final int ORGANISATIONS = 10;
    private static final HostLife FRONT = HostLife.of(HostId.of("front"), Incarnation.of(1));

    private final Dispatcher dispatcher;
    private final Map<TargetId, SimulatedEngine> engines = new HashMap<>();
    private final Map<Long, SimulatedRequest> waiting = new HashMap<>();
    private final Map<LengthClass, Histogram> firstTokens = new EnumMap<>(LengthClass.class);
    private long now;
    private long lastEndNanos;
    private int inTime;
    private int late;
    private int refused;

    Simulation(int engineCount, PlacementPolicy policy) {
        dispatcher = new Dispatcher(
                Fleet.ZONE, DispatchSettings.defaults().withPolicy(policy).withLease(Duration.ofHours(10)));
        for (LengthClass c : LengthClass.values()) {
            firstTokens.put(c, new Histogram(3));
        }
        apply(new DispatchEvent.Configured(Fleet.configuration(ORGANISATIONS)));
        apply(new DispatchEvent.TargetsListed(Fleet.engines(engineCount)));
        for (int i = 0; i < engineCount; i++) {
            engines.put(Fleet.engineId(i), new SimulatedEngine(Fleet.engineId(i)));
        }
        report();
    }

    /** Runs all requests to their ends. */
    Simulation run(List<SimulatedRequest> requests) {
        long nextTick = TICK_NANOS;
        long nextReport = REPORT_NANOS;
        int next = 0;
        while (next < requests.size() || dispatcher.queued() + dispatcher.granted() > 0) {
            long arrival = next < requests.size() ? requests.get(next).arrivalNanos : SimulatedEngine.NEVER;
            SimulatedEngine engine = nextEngine();
            now = Math.min(Math.min(arrival, engine.stepEndNanos()), Math.min(nextTick, nextReport));
            if (now == arrival) {
                submit(requests.get(next++));
            } else if (now == engine.stepEndNanos()) {
                finishStep(engine);
            } else if (now == nextTick) {
                apply(new DispatchEvent.Ticked());
                nextTick += TICK_NANOS;
            } else {
                report();
                nextReport += REPORT_NANOS;
            }
        }
        return this;
    }

    private SimulatedEngine nextEngine() {
        SimulatedEngine first = null;
        for (SimulatedEngine e : engines.values()) {
            if (first == null || e.stepEndNanos() < first.stepEndNanos()) {
                first = e;
            }
        }
        return first;
    }

    private void submit(SimulatedRequest request) {
        waiting.put(request.number, request);
        apply(new DispatchEvent.Submitted(new GrantRequest(
                AttemptId.of(FRONT, request.number),
                Fleet.organisation(request.organisation),
                new Work.Prompt(Fleet.MODEL, request.promptTokens, request.maxTokens, ImmutableLongArray.of()),
                now + LIMIT_NANOS,
                ImmutableSet.of(),
                false)));
    }

    private void finishStep(SimulatedEngine engine) {
        for (SimulatedRequest r : engine.finishStep(now)) {
            firstTokens.get(r.lengthClass()).recordValue((r.firstTokenNanos - r.arrivalNanos) / 1_000);
            lastEndNanos = now;
            if (now - r.arrivalNanos <= LIMIT_NANOS) {
                inTime++;
            } else {
                late++;
            }
            apply(new DispatchEvent.Finished(
                    AttemptId.of(FRONT, r.number), engine.id, r.answerTokens, DispatchEvent.Outcome.COMPLETED));
        }
    }

    private void report() {
        for (SimulatedEngine e : new ArrayList<>(engines.values())) {
            apply(new DispatchEvent.LoadReported(e.id, e.report(now)));
        }
    }

    private void apply(DispatchEvent event) {
        for (DispatchEffect effect : dispatcher.apply(event, now)) {
            switch (effect) {
                case DispatchEffect.Granted g -> {
                    SimulatedRequest r = waiting.remove(g.attempt().counter());
                    r.priority = g.priority();
                    engines.get(g.targets().get(0)).submit(r, now);
                }
                case DispatchEffect.Refused r -> {
                    waiting.remove(r.attempt().counter());
                    refused++;
                }
                case DispatchEffect.Spilled s -> throw new IllegalStateException("spilled without another zone");
            }
        }
    }

    /** Returns a quantile of the time to first token, in milliseconds. */
    double firstTokenMillis(LengthClass lengthClass, double percentile) {
        return firstTokens.get(lengthClass).getValueAtPercentile(percentile) / 1e3;
    }

    int inTime() {
        return inTime;
    }

    int late() {
        return late;
    }

    int refused() {
        return refused;
    }

    double lastEndSeconds() {
        return lastEndNanos / 1e9;
    }
}
