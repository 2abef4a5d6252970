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
 * Polls engines for the planner and works out how much each model is asked for.
 *
 * <p>Demand is the number of sequences that run or wait at the engines that hold a model; an engine's count is shared
 * evenly among its models. Not thread-safe.
 */
final class EnginePolls {
    private static final long POLL_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long HURRIED_POLL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long HURRY_NANOS = Duration.ofSeconds(30).toNanos();

    private final Function<Target, CompletableFuture<LoadReport>> load;
    private final Ticker ticker;
    private final ImmutableSet<ModelId> models;
    private final Map<TargetId, LoadReport> latest = new TreeMap<>();

    private boolean due = true;
    private long polledNanos;
    private boolean hurried;
    private long orderedNanos;

    /** An engine's answer, with the time when it was asked. */
    record Answer(TargetId engine, LoadReport load, long askedNanos, long answeredNanos) {
        /** Returns the report; its age is the most that it may be. */
        PlannerEvent.Reported report() {
            Duration age = load.age().plusNanos(answeredNanos - askedNanos);
            return new PlannerEvent.Reported(engine, load.models(), load.role(), load.usedTokens(), age);
        }
    }

    EnginePolls(Function<Target, CompletableFuture<LoadReport>> load, Ticker ticker, ImmutableSet<ModelId> models) {
        this.load = load;
        this.ticker = ticker;
        this.models = models;
    }

    /** Forgets all answers and polls at the next chance. */
    void restart() {
        latest.clear();
        due = true;
    }

    /** Polls more often for a while, to see the order's effect. */
    void orderSent() {
        hurried = true;
        orderedNanos = ticker.read();
    }

    /** Asks the engines if that is due; each answer goes to the listener, on any thread. */
    void poll(ImmutableList<Target> engines, Consumer<Answer> listener) {
        long now = ticker.read();
        hurried &= now - orderedNanos < HURRY_NANOS;
        if (!due && now - polledNanos < (hurried ? HURRIED_POLL_NANOS : POLL_NANOS)) {
            return;
        }
        due = engines.isEmpty();
        polledNanos = now;
        latest.keySet().retainAll(engines.stream().map(Target::id).toList());
        for (Target engine : engines) {
            load.apply(engine)
                    .thenAccept(report -> listener.accept(new Answer(engine.id(), report, now, ticker.read())));
        }
    }

    /** Takes an answer and returns the demand that is known now. */
    PlannerEvent.DemandReported answered(Answer answer) {
        latest.put(answer.engine(), answer.load());
        Map<ModelId, Double> demand = new HashMap<>();
        for (LoadReport report : latest.values()) {
            double each = (double) (report.running() + report.queued())
                    / Math.max(1, report.models().size());
            report.models().stream().filter(models::contains).forEach(model -> demand.merge(model, each, Double::sum));
        }
        return new PlannerEvent.DemandReported(ImmutableMap.copyOf(demand));
    }
}
