package org.boragebarrow.node.plan;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.base.Ticker;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.plan.PlannerEvent;
import org.boragebarrow.model.ModelId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl.LoadReport;

/**
 * Polls the load reports of engines for the planner and computes the demand for each model.
 *
 * <p>The demand for a model is the number of running and queued sequences at the engines that hold it; the count of an
 * engine is split evenly among its models. Not thread-safe.
 */
final class EnginePoller {
    private static final long POLL_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long FAST_POLL_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long FAST_POLL_PERIOD_NANOS = Duration.ofSeconds(30).toNanos();

    private final Function<Target, CompletableFuture<LoadReport>> fetchLoad;
    private final Ticker ticker;
    private final ImmutableSet<ModelId> models;
    private final Map<TargetId, LoadReport> latestReports = new TreeMap<>();

    private boolean pollNow = true;
    private long lastPollNanos;
    private boolean fastPolling;
    private long lastOrderNanos;

    /** An engine's response, with the times of the request and the response in nanoseconds of the ticker. */
    record LoadResponse(TargetId engine, LoadReport load, long requestedNanos, long receivedNanos) {
        /** Returns the report with the upper bound of its age: the age at the engine and the duration of the call. */
        PlannerEvent.Reported toEvent() {
            Duration age = load.age().plusNanos(receivedNanos - requestedNanos);
            return new PlannerEvent.Reported(engine, load.models(), load.role(), load.usedTokens(), age);
        }
    }

    EnginePoller(
            Function<Target, CompletableFuture<LoadReport>> fetchLoad, Ticker ticker, ImmutableSet<ModelId> models) {
        this.fetchLoad = fetchLoad;
        this.ticker = ticker;
        this.models = models;
    }

    /** Discards all responses and polls again at the next call of {@link #poll}. */
    void restart() {
        latestReports.clear();
        pollNow = true;
    }

    /** Starts a period of more frequent polls, to observe the effect of an order that was sent. */
    void onOrderSent() {
        fastPolling = true;
        lastOrderNanos = ticker.read();
    }

    /** Polls the engines if a poll is due; passes each response to the listener, on any thread. */
    void poll(ImmutableList<Target> engines, Consumer<LoadResponse> listener) {
        long now = ticker.read();
        fastPolling &= now - lastOrderNanos < FAST_POLL_PERIOD_NANOS;
        if (!pollNow && now - lastPollNanos < (fastPolling ? FAST_POLL_INTERVAL_NANOS : POLL_INTERVAL_NANOS)) {
            return;
        }
        pollNow = engines.isEmpty();
        lastPollNanos = now;
        latestReports.keySet().retainAll(engines.stream().map(Target::id).toList());
        for (Target engine : engines) {
            fetchLoad
                    .apply(engine)
                    .thenAccept(report -> listener.accept(new LoadResponse(engine.id(), report, now, ticker.read())));
        }
    }

    /** Records a response and returns the demand according to the latest responses. */
    PlannerEvent.DemandReported recordResponse(LoadResponse response) {
        latestReports.put(response.engine(), response.load());
        Map<ModelId, Double> demand = new HashMap<>();
        for (LoadReport report : latestReports.values()) {
            double perModel = (double) (report.running() + report.queued())
                    / Math.max(1, report.models().size());
            report.models().stream()
                    .filter(models::contains)
                    .forEach(model -> demand.merge(model, perModel, Double::sum));
        }
        return new PlannerEvent.DemandReported(ImmutableMap.copyOf(demand));
    }
}
