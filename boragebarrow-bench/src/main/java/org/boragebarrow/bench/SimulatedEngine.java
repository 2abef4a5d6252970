package org.boragebarrow.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

/** Emulates an engine that batches continuously in steps and reads prompts in chunks, by priority. */
final class SimulatedEngine {
    static final long NEVER = Long.MAX_VALUE;

    private static final double PREFILL_TOKENS_PER_SECOND = 20_000;
    private static final long STEP_BASE_NANOS = Duration.ofMillis(8).toNanos();
    private static final long STEP_PER_SEQUENCE_NANOS = 250_000;
    private static final double CHUNK_TOKENS = 2_048;
    private static final int SLOTS = 48;
    private static final long CAPACITY_TOKENS = 400_000;

    final TargetId id;
    private final List<SimulatedRequest> sequences = new ArrayList<>();
    private final List<SimulatedRequest> inStep = new ArrayList<>();
    private long stepEndNanos = NEVER;
    private EngineControl.LoadReport shown = measure(0);
    private long shownNanos;
    private EngineControl.LoadReport latest = shown;
    private long latestNanos;

    SimulatedEngine(TargetId id) {
        this.id = id;
    }

    long stepEndNanos() {
        return stepEndNanos;
    }

    void submit(SimulatedRequest request, long nowNanos) {
        request.unreadTokens = request.promptTokens;
        sequences.add(request);
        sequences.sort(
                Comparator.comparingInt((SimulatedRequest r) -> r.priority).thenComparingLong(r -> r.arrivalNanos));
        startStep(nowNanos);
    }

    /** Ends the step that is due and returns the requests that have ended with it. */
    List<SimulatedRequest> finishStep(long nowNanos) {
        List<SimulatedRequest> ended = new ArrayList<>();
        for (SimulatedRequest r : inStep) {
            r.unreadTokens -= r.chunkTokens;
            if (r.unreadTokens > 0) {
                continue;
            }
            if (r.answered++ == 0) {
                r.firstTokenNanos = nowNanos;
            }
            if (r.answered == r.answerTokens) {
                ended.add(r);
            }
        }
        sequences.removeAll(ended);
        stepEndNanos = NEVER;
        startStep(nowNanos);
        return ended;
    }

    private void startStep(long nowNanos) {
        if (stepEndNanos != NEVER || sequences.isEmpty()) {
            return;
        }
        inStep.clear();
        double chunk = 0;
        int decoding = 0;
        for (SimulatedRequest r : sequences.subList(0, Math.min(SLOTS, sequences.size()))) {
            r.chunkTokens = Math.min(CHUNK_TOKENS - chunk, r.unreadTokens);
            chunk += r.chunkTokens;
            decoding += r.unreadTokens == 0 ? 1 : 0;
            inStep.add(r);
        }
        stepEndNanos = nowNanos
                + STEP_BASE_NANOS
                + decoding * STEP_PER_SEQUENCE_NANOS
                + (long) (chunk / PREFILL_TOKENS_PER_SECOND * 1e9);
    }

    /** Samples the load; a sample is shown when the next one is taken. */
    EngineControl.LoadReport report(long nowNanos) {
        shown = latest;
        shownNanos = latestNanos;
        latest = measure(sequences.size());
        latestNanos = nowNanos;
        return new EngineControl.LoadReport(
                Duration.ofNanos(nowNanos - shownNanos),
                shown.capacityTokens(),
                shown.usedTokens(),
                shown.batchSlots(),
                shown.running(),
                shown.queued(),
                shown.prefillTokensPerSecond(),
                shown.decodeTokensPerSecond(),
                shown.models(),
                shown.role(),
                shown.accepting());
    }

    private EngineControl.LoadReport measure(int running) {
        long used = 0;
        for (SimulatedRequest r : sequences) {
            used += r.promptTokens + r.maxTokens;
        }
        return new EngineControl.LoadReport(
                Duration.ZERO,
                CAPACITY_TOKENS,
                used,
                SLOTS,
                Math.min(SLOTS, running),
                Math.max(0, running - SLOTS),
                PREFILL_TOKENS_PER_SECOND,
                1e9 / (STEP_BASE_NANOS + STEP_PER_SEQUENCE_NANOS),
                ImmutableSet.of(Fleet.MODEL),
                "both",
                true);
    }
}
