package org.boragebarrow.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.port.EngineControl.CacheEvents;
import org.boragebarrow.port.EngineControl.Holdings;
import org.boragebarrow.port.EngineControl.LoadReport;
import org.boragebarrow.port.EngineControl.Order;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Simulates an engine with continuous batching, step by step.
 *
 * <p>Not thread-safe. The caller supplies the time, which must not decrease. The sink must not call the model.
 */
final class EngineModel {
    private static final long MIN_STEP_NANOS = 1_000;
    private static final long NEVER = Long.MAX_VALUE;
    private static final int MAX_ENDED = 4_096;
    private static final String TIME_LIMIT_PASSED = "the sequence's time limit has passed";

    private final EngineSettings settings;
    private final SequenceSink sink;
    private final CacheEventLog cacheEvents;
    private final Memory memory;
    private final ModelRegistry modelRegistry;
    private final LoadSampler load;
    private final Map<AttemptId, Sequence> active = new HashMap<>();
    private final Map<AttemptId, Sequence> ended = new LinkedHashMap<>();
    private final TreeSet<Sequence> waiting = new TreeSet<>(Sequence.BY_PRIORITY_AND_ARRIVAL);
    private final TreeSet<Sequence> batch = new TreeSet<>(Sequence.BY_PRIORITY_AND_ARRIVAL);
    private double slowFactor = 1;
    private boolean leaving;
    private boolean refusing;
    private long frozenSinceNanos = NEVER;
    private long stepEndNanos = NEVER;
    private long nowNanos;
    private long arrivalCount;

    EngineModel(EngineSettings settings, RandomGenerator random, SequenceSink sink, long nowNanos) {
        this.settings = checkNotNull(settings);
        this.sink = checkNotNull(sink);
        this.nowNanos = nowNanos;
        this.cacheEvents = new CacheEventLog(settings.cacheEventLag(), settings.cacheEventLoss(), random);
        this.memory = new Memory(settings.capacityTokens(), new BlockCache(cacheEvents));
        this.modelRegistry = new ModelRegistry(
                settings.checksFencing(), settings.loadTime(), settings.models(), settings.role(), nowNanos);
        this.load = new LoadSampler(settings.loadReportInterval(), this::measureLoad, nowNanos);
    }

    /** Advances the time and runs all steps, expiries and load samples that are due by then. */
    void advance(long toNanos) {
        checkArgument(toNanos >= nowNanos, "time decreased by %s ns", nowNanos - toNanos);
        if (isFrozen()) {
            nowNanos = toNanos;
            return;
        }
        long due = nextNanos();
        while (due <= toNanos) {
            nowNanos = Math.max(nowNanos, due);
            load.sample(nowNanos);
            expire();
            if (stepEndNanos <= nowNanos) {
                finishStep();
            }
            startStep();
            due = nextNanos();
        }
        nowNanos = toNanos;
    }

    /** Returns when the next step, expiry or load sample is due; {@code Long.MAX_VALUE} while the engine is frozen. */
    long nextNanos() {
        if (isFrozen()) {
            return NEVER;
        }
        long next = Math.min(stepEndNanos, Math.min(load.nextNanos(), memory.nextExpiryNanos()));
        for (Sequence sequence : active.values()) {
            next = Math.min(next, sequence.deadlineNanos());
        }
        return next;
    }

    Admission submit(SequenceRequest request) {
        Optional<Admission.Reason> reason = refusalReason(request);
        if (reason.isPresent()) {
            return new Admission.Refused(reason.get());
        }
        Sequence sequence = new Sequence(request, arrivalCount++, nowNanos);
        if (request.gang()) {
            sequence.setHeldTokens(memory.allocateReserved(request.attempt()).orElseThrow());
        }
        ended.remove(request.attempt());
        active.put(request.attempt(), sequence);
        waiting.add(sequence);
        startStep();
        return new Admission.Accepted();
    }

    private Optional<Admission.Reason> refusalReason(SequenceRequest request) {
        if (leaving || refusing) {
            return Optional.of(Admission.Reason.NOT_ACCEPTING);
        }
        if (active.containsKey(request.attempt())) {
            return Optional.of(Admission.Reason.DUPLICATE_ATTEMPT);
        }
        if (!modelRegistry.isLoaded(request.model(), nowNanos)) {
            return Optional.of(Admission.Reason.UNKNOWN_MODEL);
        }
        if (request.gang()) {
            boolean reserved = memory.reservations(nowNanos).stream()
                    .anyMatch(reservation -> reservation.attempt().equals(request.attempt()));
            return reserved ? Optional.empty() : Optional.of(Admission.Reason.NO_RESERVATION);
        }
        if (request.totalTokens() > settings.capacityTokens()) {
            return Optional.of(Admission.Reason.TOO_LARGE);
        }
        return waiting.size() < settings.maxWaiting() ? Optional.empty() : Optional.of(Admission.Reason.FULL);
    }

    /** Returns the sequence of the attempt, if it is active or among the last {@link #MAX_ENDED} that ended. */
    Optional<Sequence> find(AttemptId attempt) {
        return Optional.ofNullable(active.getOrDefault(attempt, ended.get(attempt)));
    }

    /** Removes the sequence and frees its memory and its reservation; does nothing for an unknown attempt. */
    void cancel(AttemptId attempt) {
        ended.remove(attempt);
        memory.release(attempt);
        Sequence sequence = active.get(attempt);
        if (sequence != null) {
            remove(sequence);
            startStep();
        }
    }

    boolean reserve(AttemptId attempt, long tokens, Duration timeToLive) {
        checkArgument(tokens > 0, "tokens must be positive: %s", tokens);
        return !leaving && !refusing && memory.reserve(attempt, tokens, timeToLive, nowNanos);
    }

    void release(AttemptId attempt) {
        memory.release(attempt);
        startStep();
    }

    /** Stops the sequence and moves its memory to an export; returns the export's id, if the sequence held memory. */
    Optional<String> export(AttemptId attempt) {
        Optional<String> id = memory.export(attempt);
        id.ifPresent(exported -> cancel(attempt));
        return id;
    }

    void deleteExport(String id) {
        memory.deleteExport(id);
        startStep();
    }

    boolean order(Order order, long fencingNumber) {
        return modelRegistry.apply(order, fencingNumber, nowNanos);
    }

    LoadReport load() {
        return load.report(nowNanos);
    }

    CacheEvents cacheEvents(long after) {
        return cacheEvents.eventsAfter(after, nowNanos);
    }

    Holdings holdings() {
        ImmutableList.Builder<org.boragebarrow.port.EngineControl.Sequence> sequences = ImmutableList.builder();
        for (Sequence sequence : active.values()) {
            Duration remaining = Duration.ofNanos(Math.max(0, sequence.deadlineNanos() - nowNanos));
            sequences.add(new org.boragebarrow.port.EngineControl.Sequence(
                    sequence.attempt(), remaining, sequence.heldTokens()));
        }
        return new Holdings(sequences.build(), memory.reservations(nowNanos), memory.exports());
    }

    /** Returns the memory that sequences, reservations and exports hold, in tokens. */
    long heldTokens() {
        return memory.heldTokens();
    }

    void setLeaving(boolean value) {
        leaving = value;
    }

    void setRefusing(boolean value) {
        refusing = value;
    }

    void setSlowFactor(double value) {
        checkArgument(value > 0, "slow factor must be positive: %s", value);
        slowFactor = value;
    }

    /** Suspends or resumes all work; a step in progress resumes with the time that it had left. */
    void setFrozen(boolean frozen) {
        if (frozen == isFrozen()) {
            return;
        }
        if (frozen) {
            frozenSinceNanos = nowNanos;
            return;
        }
        if (stepEndNanos != NEVER) {
            stepEndNanos += nowNanos - frozenSinceNanos;
        }
        frozenSinceNanos = NEVER;
        startStep();
    }

    boolean isFrozen() {
        return frozenSinceNanos != NEVER;
    }

    private void expire() {
        memory.expire(nowNanos);
        for (Sequence sequence : ImmutableList.copyOf(active.values())) {
            if (sequence.deadlineNanos() <= nowNanos) {
                remove(sequence);
                sink.onStop(sequence.attempt(), TIME_LIMIT_PASSED);
            }
        }
    }

    private void remove(Sequence sequence) {
        active.remove(sequence.attempt());
        waiting.remove(sequence);
        batch.remove(sequence);
        memory.free(sequence.attempt());
    }

    private void startStep() {
        if (stepEndNanos != NEVER || isFrozen()) {
            return;
        }
        fillBatch();
        if (batch.isEmpty()) {
            return;
        }
        long prefillTokens = 0;
        int decoding = 0;
        for (Sequence sequence : batch) {
            if (sequence.isDecoding()) {
                decoding++;
            }
            prefillTokens += sequence.startStep(settings.chunkTokens() - prefillTokens);
        }
        double nanos = settings.stepBase().toNanos()
                + (double) decoding * settings.stepPerSequence().toNanos()
                + prefillTokens
                        / settings.prefillTokensPerSecond()
                        * Duration.ofSeconds(1).toNanos();
        stepEndNanos = nowNanos + Math.max(MIN_STEP_NANOS, (long) (nanos * slowFactor));
    }

    private void fillBatch() {
        while (!waiting.isEmpty() && batch.size() < settings.batchSlots()) {
            Sequence first = waiting.first();
            if (!admit(first)) {
                return;
            }
            waiting.remove(first);
            batch.add(first);
        }
    }

    private boolean admit(Sequence sequence) {
        SequenceRequest request = sequence.request();
        long cached = memory.matchPrefix(request.blockHashes());
        if (request.gang()) {
            sequence.startPrefill(Math.min(request.promptTokens(), sequence.heldTokens()) - cached);
            return true;
        }
        if (!memory.allocate(request.attempt(), request.totalTokens(), nowNanos)) {
            return false;
        }
        sequence.setHeldTokens(request.totalTokens());
        sequence.startPrefill(request.promptTokens() + (long) request.firstIndex() - cached);
        return true;
    }

    private void finishStep() {
        stepEndNanos = NEVER;
        List<Sequence> batched = new ArrayList<>(batch);
        for (Sequence sequence : batched) {
            if (sequence.isInStep()) {
                finishStep(sequence);
            }
        }
    }

    private void finishStep(Sequence sequence) {
        boolean wasDecoding = sequence.isDecoding();
        if (!sequence.finishStep()) {
            return;
        }
        if (!wasDecoding) {
            memory.storePrefix(sequence.request().blockHashes(), nowNanos);
        }
        if (!sequence.isComplete()) {
            sink.onToken(sequence.attempt(), sequence.emitToken());
        }
        if (sequence.isComplete()) {
            remove(sequence);
            // The memory of a running sequence limits the cache; the rest of its blocks fit once that memory is free.
            memory.storePrefix(sequence.request().blockHashes(), nowNanos);
            retainEnded(sequence);
            sink.onEnd(sequence.attempt());
        }
    }

    private void retainEnded(Sequence sequence) {
        ended.put(sequence.attempt(), sequence);
        if (ended.size() > MAX_ENDED) {
            ended.remove(ended.keySet().iterator().next());
        }
    }

    private LoadReport measureLoad() {
        return new LoadReport(
                Duration.ZERO,
                settings.capacityTokens(),
                memory.heldTokens(),
                settings.batchSlots(),
                batch.size(),
                waiting.size(),
                settings.prefillTokensPerSecond() / slowFactor,
                settings.decodeTokensPerSecond() / slowFactor,
                modelRegistry.loaded(nowNanos),
                modelRegistry.role(),
                !leaving && !refusing);
    }
}
