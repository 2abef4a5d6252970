package org.boragebarrow.standins.engine;

import java.util.Comparator;

import org.boragebarrow.model.AttemptId;

import static com.google.common.base.Preconditions.checkState;

/** A sequence that is waiting, running or ended; not thread-safe. */
final class Sequence {
    /** Orders by priority number, lowest first, then by arrival. */
    static final Comparator<Sequence> ORDER =
            Comparator.<Sequence>comparingInt(s -> s.request.priority()).thenComparingLong(s -> s.arrival);

    private final SequenceRequest request;
    private final long arrival;
    private final long deadlineNanos;
    private long heldTokens;
    private long prefillTokens;
    private long chunkTokens;
    private int next;
    private boolean inStep;

    Sequence(SequenceRequest request, long arrivalNumber, long nowNanos) {
        this.request = request;
        this.arrival = arrivalNumber;
        this.deadlineNanos = nowNanos + request.remaining().toNanos();
        this.next = request.firstIndex();
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
    int next() {
        return next;
    }

    boolean isDecoding() {
        return prefillTokens == 0;
    }

    boolean isComplete() {
        return next >= request.maxTokens();
    }

    boolean isInStep() {
        return inStep;
    }

    void hold(long tokens) {
        heldTokens = tokens;
    }

    void startPrefill(long tokens) {
        prefillTokens = Math.max(1, tokens);
    }

    /** Starts a step and returns how many prompt tokens of this sequence the step processes. */
    long joinStep(long budgetTokens) {
        inStep = true;
        chunkTokens = Math.min(budgetTokens, prefillTokens);
        return chunkTokens;
    }

    /** Ends the step; returns whether the prefill is complete, so that the sequence produces a token. */
    boolean leaveStep() {
        checkState(inStep, "%s is not in a step", attempt());
        inStep = false;
        prefillTokens -= chunkTokens;
        chunkTokens = 0;
        return prefillTokens == 0;
    }

    int takeToken() {
        checkState(!isComplete(), "%s has produced all its tokens", attempt());
        return next++;
    }
}
