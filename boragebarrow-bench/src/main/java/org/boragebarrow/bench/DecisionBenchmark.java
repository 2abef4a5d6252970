package org.boragebarrow.bench;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableSet;
import com.google.common.primitives.ImmutableLongArray;
import org.boragebarrow.decision.dispatch.DispatchEffect;
import org.boragebarrow.decision.dispatch.DispatchEvent;
import org.boragebarrow.decision.dispatch.DispatchSettings;
import org.boragebarrow.decision.dispatch.Dispatcher;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.decision.dispatch.Work;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.model.IncarnationNumber;
import org.boragebarrow.port.EngineControl;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures one decision of a busy dispatcher: a request ends, another is granted, and a new one is queued.
 *
 * <p>Runs without a fork: processes of this project start no other processes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 3)
@Measurement(iterations = 5, time = 3)
@Fork(0)
public class DecisionBenchmark {
    private static final int ENGINES = 84;
    private static final int ORGANISATIONS = 290;
    private static final int QUEUED_REQUESTS = 2_000;
    private static final int BATCH_SLOTS = 16;
    private static final long CAPACITY_TOKENS = 400_000;
    private static final int MAX_TOKENS = 512;
    private static final int MAX_PREFIX_BLOCKS = 8;
    private static final int DISTINCT_PREFIXES = 500;
    private static final int LONG_ONE_IN = 50;
    private static final long STEP_NANOS = Duration.ofMillis(10).toNanos();
    private static final long TIMEOUT_NANOS = Duration.ofHours(1).toNanos();

    private final SplittableRandom random = new SplittableRandom(1);
    private final ArrayDeque<DispatchEffect.Granted> running = new ArrayDeque<>();
    private final HostIncarnation front = HostIncarnation.of(HostId.of("front"), IncarnationNumber.of(1));
    private Dispatcher dispatcher;
    private long nowNanos;
    private long nextAttempt;

    /** Queues requests until {@code QUEUED_REQUESTS} of them wait for a grant. */
    @Setup(Level.Trial)
    public void fillQueue() {
        dispatcher = new Dispatcher(Fleet.ZONE, DispatchSettings.defaults().withLease(Duration.ofHours(1)));
        nowNanos = 0;
        apply(new DispatchEvent.Configured(Fleet.configuration(ORGANISATIONS)));
        apply(new DispatchEvent.TargetsListed(Fleet.engines(ENGINES)));
        for (int i = 0; i < ENGINES; i++) {
            apply(new DispatchEvent.LoadReported(Fleet.engineId(i), idleLoadReport()));
        }
        while (dispatcher.queuedCount() < QUEUED_REQUESTS) {
            nowNanos += STEP_NANOS;
            submit();
        }
    }

    /** Completes the oldest running request and submits another. */
    @Benchmark
    public int decide() {
        nowNanos += STEP_NANOS;
        DispatchEffect.Granted oldest = running.remove();
        apply(new DispatchEvent.Finished(
                oldest.attempt(), oldest.targets().get(0), MAX_TOKENS / 4, DispatchEvent.Outcome.COMPLETED));
        if (dispatcher.queuedCount() < QUEUED_REQUESTS) {
            submit();
        }
        return dispatcher.queuedCount();
    }

    private void submit() {
        boolean isLong = random.nextInt(LONG_ONE_IN) == 0;
        int promptTokens = isLong ? 100_000 + random.nextInt(100_000) : 200 + random.nextInt(3_800);
        long prefix = random.nextInt(DISTINCT_PREFIXES);
        ImmutableLongArray.Builder blocks = ImmutableLongArray.builder();
        for (int i = 0; i < Math.min(MAX_PREFIX_BLOCKS, promptTokens / 512); i++) {
            blocks.add(prefix * MAX_PREFIX_BLOCKS + i);
        }
        apply(new DispatchEvent.Submitted(new GrantRequest(
                AttemptId.of(front, nextAttempt++),
                Fleet.organisation(random.nextInt(ORGANISATIONS)),
                new Work.Prompt(Fleet.MODEL, promptTokens, MAX_TOKENS, blocks.build()),
                nowNanos + TIMEOUT_NANOS,
                ImmutableSet.of(),
                false)));
    }

    private void apply(DispatchEvent event) {
        for (DispatchEffect effect : dispatcher.apply(event, nowNanos)) {
            if (effect instanceof DispatchEffect.Granted granted) {
                running.add(granted);
            }
        }
    }

    private static EngineControl.LoadReport idleLoadReport() {
        return new EngineControl.LoadReport(
                Duration.ZERO,
                CAPACITY_TOKENS,
                0,
                BATCH_SLOTS,
                0,
                0,
                20_000,
                120,
                ImmutableSet.of(Fleet.MODEL),
                "both",
                true);
    }
}
