package org.boragebarrow.standins.engine;

import java.util.Comparator;

import org.boragebarrow.model.AttemptId;

import static com.google.common.base.Preconditions.checkState;

/** A sequence that is waiting, running or ended; not thread-safe. */
final class Sequence {
    /** Orders by priority number, lowest first, then by arrival. */
    static final Comparator<Sequence> BY_PRIORITY_AND_ARRIVAL =
            Comparator.<Sequence>comparingInt(s -> s.request.priority()).thenComparingLong(s -> s.arrivalNumber);

    private final SequenceRequest request;
    private final long arrivalNumber;
    private final long deadlineNanos;
    private long heldTokens;
    private long prefillTokens;
    private long chunkTokens;
    private int nextIndex;
    private boolean inStep;

    Sequence(SequenceRequest request, long arrivalNumber, long nowNanos) {
        this.request = request;
        this.arrivalNumber = arrivalNumber;
        this.deadlineNanos = nowNanos + request.remaining().toNanos();
        this.nextIndex = request.firstIndex();
    }

    AttemptId attempt() {
        return request.attempt();
    }

    SequenceRequest request() {
        return request;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Returns the memory that the sequence holds, in tokens; 0 while it waits, unless it uses a reservation. */
    long heldTokens() {
        return heldTokens;
    }

    /** Returns the index of the next token. */
    int nextIndex() {
        return nextIndex;
    }

    boolean isDecoding() {
        return prefillTokens == 0;
    }

    boolean isComplete() {
        return nextIndex >= request.maxTokens();
    }

    boolean isInStep() {
        return inStep;
    }

    void setHeldTokens(long tokens) {
        heldTokens = tokens;
    }

    void startPrefill(long tokens) {
        prefillTokens = Math.max(1, tokens);
    }

    /** Starts a step and returns how many prompt tokens of this sequence the step processes. */
    long startStep(long budgetTokens) {
        inStep = true;
        chunkTokens = Math.min(budgetTokens, prefillTokens);
        return chunkTokens;
    }

    /** Ends the step; returns whether the prefill is complete, so that the sequence produces a token. */
    boolean finishStep() {
        checkState(inStep, "%s is not in a step", attempt());
        inStep = false;
        prefillTokens -= chunkTokens;
        chunkTokens = 0;
        return prefillTokens == 0;
    }

    int emitToken() {
        checkState(!isComplete(), "%s has produced all its tokens", attempt());
        return nextIndex++;
    }
}
