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
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.model.LengthClass;
import org.boragebarrow.model.TargetId;

/** Runs requests through a dispatcher and simulated engines, in simulated time. */
final class Simulation {
    private static final long TICK_INTERVAL_NANOS = Duration.ofMillis(10).toNanos();
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(120).toNanos();
    private static final int ORGANISATIONS = 10;
    private static final HostIncarnation FRONT = HostIncarnation.of(HostId.of("front"), IncarnationNumber.of(1));

    private final Dispatcher dispatcher;
    private final Map<TargetId, SimulatedEngine> engines = new HashMap<>();
    private final Map<Long, SimulatedRequest> queuedRequests = new HashMap<>();
    private final Map<LengthClass, Histogram> firstTokenMicros = new EnumMap<>(LengthClass.class);
    private long nowNanos;
    private long lastEndNanos;
    private int completedInTime;
    private int completedLate;
    private int refusedCount;

    Simulation(int engineCount, PlacementPolicy policy) {
        dispatcher = new Dispatcher(
                Fleet.ZONE, DispatchSettings.defaults().withPolicy(policy).withLease(Duration.ofHours(10)));
        for (LengthClass lengthClass : LengthClass.values()) {
            firstTokenMicros.put(lengthClass, new Histogram(3));
        }
        apply(new DispatchEvent.Configured(Fleet.configuration(ORGANISATIONS)));
        apply(new DispatchEvent.TargetsListed(Fleet.engines(engineCount)));
        for (int i = 0; i < engineCount; i++) {
            engines.put(Fleet.engineId(i), new SimulatedEngine(Fleet.engineId(i)));
        }
        reportLoad();
    }

    /** Runs until all requests have been completed or refused. */
    Simulation run(List<SimulatedRequest> requests) {
        long nextTick = TICK_INTERVAL_NANOS;
        long nextReport = REPORT_INTERVAL_NANOS;
        int nextRequest = 0;
        while (nextRequest < requests.size() || dispatcher.queuedCount() + dispatcher.grantedCount() > 0) {
            long arrivalNanos =
                    nextRequest < requests.size() ? requests.get(nextRequest).arrivalNanos : SimulatedEngine.NEVER;
            SimulatedEngine engine = nextEngine();
            nowNanos = Math.min(Math.min(arrivalNanos, engine.stepEndNanos()), Math.min(nextTick, nextReport));
            if (nowNanos == arrivalNanos) {
                submit(requests.get(nextRequest++));
            } else if (nowNanos == engine.stepEndNanos()) {
                finishStep(engine);
            } else if (nowNanos == nextTick) {
                apply(new DispatchEvent.Ticked());
                nextTick += TICK_INTERVAL_NANOS;
            } else {
                reportLoad();
                nextReport += REPORT_INTERVAL_NANOS;
            }
        }
        return this;
    }

    private SimulatedEngine nextEngine() {
        SimulatedEngine first = null;
        for (SimulatedEngine engine : engines.values()) {
            if (first == null || engine.stepEndNanos() < first.stepEndNanos()) {
                first = engine;
            }
        }
        return first;
    }

    private void submit(SimulatedRequest request) {
        queuedRequests.put(request.number, request);
        apply(new DispatchEvent.Submitted(new GrantRequest(
                AttemptId.of(FRONT, request.number),
                Fleet.organisation(request.organisation),
                new Work.Prompt(Fleet.MODEL, request.promptTokens, request.maxTokens, ImmutableLongArray.of()),
                nowNanos + TIMEOUT_NANOS,
                ImmutableSet.of(),
                false)));
    }

    private void finishStep(SimulatedEngine engine) {
        for (SimulatedRequest request : engine.finishStep(nowNanos)) {
            firstTokenMicros
                    .get(request.lengthClass())
                    .recordValue((request.firstTokenNanos - request.arrivalNanos) / 1_000);
            lastEndNanos = nowNanos;
            if (nowNanos - request.arrivalNanos <= TIMEOUT_NANOS) {
                completedInTime++;
            } else {
                completedLate++;
            }
            apply(new DispatchEvent.Finished(
                    AttemptId.of(FRONT, request.number),
                    engine.id,
                    request.answerTokens,
                    DispatchEvent.Outcome.COMPLETED));
        }
    }

    private void reportLoad() {
        for (SimulatedEngine engine : new ArrayList<>(engines.values())) {
            apply(new DispatchEvent.LoadReported(engine.id, engine.sampleLoad(nowNanos)));
        }
    }

    private void apply(DispatchEvent event) {
        for (DispatchEffect effect : dispatcher.apply(event, nowNanos)) {
            switch (effect) {
                case DispatchEffect.Granted granted -> {
                    SimulatedRequest request =
                            queuedRequests.remove(granted.attempt().counter());
                    request.priority = granted.priority();
                    engines.get(granted.targets().get(0)).submit(request, nowNanos);
                }
                case DispatchEffect.Refused refusal -> {
                    queuedRequests.remove(refusal.attempt().counter());
                    refusedCount++;
                }
                case DispatchEffect.Spilled spilled ->
                    throw new IllegalStateException("request was spilled although there is no other zone");
            }
        }
    }

    /** Returns a percentile of the time to the first token of a length class, in milliseconds. */
    double firstTokenMillis(LengthClass lengthClass, double percentile) {
        return firstTokenMicros.get(lengthClass).getValueAtPercentile(percentile) / 1e3;
    }

    int completedInTime() {
        return completedInTime;
    }

    int completedLate() {
        return completedLate;
    }

    int refusedCount() {
        return refusedCount;
    }

    double lastEndSeconds() {
        return lastEndNanos / 1e9;
    }
}
