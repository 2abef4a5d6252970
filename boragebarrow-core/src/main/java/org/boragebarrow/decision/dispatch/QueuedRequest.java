package org.boragebarrow.decision.dispatch;

import java.util.Comparator;

import org.boragebarrow.model.LengthClass;

/** A request that waits for a grant. */
final class QueuedRequest {
    private static final double ANSWER_TOKEN_COST = 4;

    /** Orders by deadline, then by sequence number. */
    static final Comparator<QueuedRequest> BY_DEADLINE = (a, b) -> {
        int order = Long.compare(a.request.deadlineNanos(), b.request.deadlineNanos());
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    };

    /** Orders by virtual finish time, then by sequence number. */
    static final Comparator<QueuedRequest> BY_FINISH_TAG = (a, b) -> {
        int order = Double.compare(a.finishTag, b.finishTag);
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    };

    final GrantRequest request;
    final LengthClass lengthClass;
    final long sequence;
    /** The KV memory that the request needs, in tokens; 0 for a service call. */
    final long tokens;

    final double expectedAnswerTokens;

    /** The virtual finish time in the fair queue. */
    double finishTag;
    /** The number of grants from the queue when the request was added or last deferred for lack of a usable target. */
    long grantCountBaseline;

    QueuedRequest(GrantRequest request, long sequence, double expectedAnswerTokens) {
        this.request = request;
        this.sequence = sequence;
        this.expectedAnswerTokens = expectedAnswerTokens;
        switch (request.work()) {
            case Work.Prompt p -> {
                lengthClass = p.lengthClass();
                tokens = (long) p.promptTokens() + p.maxTokens();
            }
            case Work.ServiceCall c -> {
                lengthClass = LengthClass.SHORT;
                tokens = 0;
            }
        }
    }

    /**
     * Returns the cost for fair queueing in units of prompt tokens. An answer token costs more than a prompt token; a
     * service call costs 1.
     */
    double cost() {
        return request.work() instanceof Work.Prompt p
                ? p.promptTokens() + ANSWER_TOKEN_COST * expectedAnswerTokens
                : 1;
    }

    int promptTokens() {
        return request.work() instanceof Work.Prompt p ? p.promptTokens() : 0;
    }
}
