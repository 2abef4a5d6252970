package org.boragebarrow.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

/** Simulates an engine with continuous batching and chunked prefill; sequences are served in order of priority. */
final class SimulatedEngine {
    static final long NEVER = Long.MAX_VALUE;

    private static final double PREFILL_TOKENS_PER_SECOND = 20_000;
    private static final long STEP_BASE_NANOS = Duration.ofMillis(8).toNanos();
    private static final long STEP_PER_SEQUENCE_NANOS = 250_000;
    private static final double CHUNK_TOKENS = 2_048;
    private static final int BATCH_SLOTS = 48;
    private static final long CAPACITY_TOKENS = 400_000;

    final TargetId id;
    private final List<SimulatedRequest> sequences = new ArrayList<>();
    private final List<SimulatedRequest> stepRequests = new ArrayList<>();
    private long stepEndNanos = NEVER;
    private EngineControl.LoadReport reported = measureLoad(0);
    private long reportedNanos;
    private EngineControl.LoadReport latest = reported;
    private long latestNanos;

    SimulatedEngine(TargetId id) {
        this.id = id;
    }

    long stepEndNanos() {
        return stepEndNanos;
    }

    void submit(SimulatedRequest request, long nowNanos) {
        request.remainingPrefillTokens = request.promptTokens;
        sequences.add(request);
        sequences.sort(Comparator.comparingInt((SimulatedRequest queued) -> queued.priority)
                .thenComparingLong(queued -> queued.arrivalNanos));
        startStep(nowNanos);
    }

    /** Completes the current step and returns the requests that have completed with it. */
    List<SimulatedRequest> finishStep(long nowNanos) {
        List<SimulatedRequest> completed = new ArrayList<>();
        for (SimulatedRequest request : stepRequests) {
            request.remainingPrefillTokens -= request.stepPrefillTokens;
            if (request.remainingPrefillTokens > 0) {
                continue;
            }
            if (request.generatedTokens++ == 0) {
                request.firstTokenNanos = nowNanos;
            }
            if (request.generatedTokens == request.answerTokens) {
                completed.add(request);
            }
        }
        sequences.removeAll(completed);
        stepEndNanos = NEVER;
        startStep(nowNanos);
        return completed;
    }

    private void startStep(long nowNanos) {
        if (stepEndNanos != NEVER || sequences.isEmpty()) {
            return;
        }
        stepRequests.clear();
        double prefillTokens = 0;
        int decoding = 0;
        for (SimulatedRequest request : sequences.subList(0, Math.min(BATCH_SLOTS, sequences.size()))) {
            request.stepPrefillTokens = Math.min(CHUNK_TOKENS - prefillTokens, request.remainingPrefillTokens);
            prefillTokens += request.stepPrefillTokens;
            decoding += request.remainingPrefillTokens == 0 ? 1 : 0;
            stepRequests.add(request);
        }
        stepEndNanos = nowNanos
                + STEP_BASE_NANOS
                + decoding * STEP_PER_SEQUENCE_NANOS
                + (long) (prefillTokens / PREFILL_TOKENS_PER_SECOND * 1e9);
    }

    /** Samples the load and returns the previous sample, with its age. */
    EngineControl.LoadReport sampleLoad(long nowNanos) {
        reported = latest;
        reportedNanos = latestNanos;
        latest = measureLoad(sequences.size());
        latestNanos = nowNanos;
        return new EngineControl.LoadReport(
                Duration.ofNanos(nowNanos - reportedNanos),
                reported.capacityTokens(),
                reported.usedTokens(),
                reported.batchSlots(),
                reported.running(),
                reported.queued(),
                reported.prefillTokensPerSecond(),
                reported.decodeTokensPerSecond(),
                reported.models(),
                reported.role(),
                reported.accepting());
    }

    private EngineControl.LoadReport measureLoad(int running) {
        long used = 0;
        for (SimulatedRequest request : sequences) {
            used += request.promptTokens + request.maxTokens;
        }
        return new EngineControl.LoadReport(
                Duration.ZERO,
                CAPACITY_TOKENS,
                used,
                BATCH_SLOTS,
                Math.min(BATCH_SLOTS, running),
                Math.max(0, running - BATCH_SLOTS),
                PREFILL_TOKENS_PER_SECOND,
                1e9 / (STEP_BASE_NANOS + STEP_PER_SEQUENCE_NANOS),
                ImmutableSet.of(Fleet.MODEL),
                "both",
                true);
    }
}
