package org.boragebarrow.bench;

import org.boragebarrow.model.LengthClass;

/** A request of a simulation and its progress. */
final class SimulatedRequest {
    final long number;
    final int organisation;
    final long arrivalNanos;
    final int promptTokens;
    final int maxTokens;
    final int answerTokens;

    int priority;
    double remainingPrefillTokens;
    double stepPrefillTokens;
    int generatedTokens;
    long firstTokenNanos;

    SimulatedRequest(
            long number, int organisation, long arrivalNanos, int promptTokens, int maxTokens, int answerTokens) {
        this.number = number;
        this.organisation = organisation;
        this.arrivalNanos = arrivalNanos;
        this.promptTokens = promptTokens;
        this.maxTokens = maxTokens;
        this.answerTokens = answerTokens;
    }

    LengthClass lengthClass() {
        return LengthClass.of(promptTokens);
    }
}
