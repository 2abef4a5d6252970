package org.boragebarrow.decision.dispatch;

import java.util.Comparator;

import org.boragebarrow.model.LengthClass;

/** A request that waits for a grant. */
final class Queued {
    private static final double ANSWER_TOKEN_COST = 4;

    /** Orders by time limit. */
    static final Comparator<Queued> BY_DEADLINE = (a, b) -> {
        int order = Long.compare(a.request.deadlineNanos(), b.request.deadlineNanos());
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    };

    /** Orders by virtual finish time. */
    static final Comparator<Queued> BY_TAG = (a, b) -> {
        int order = Double.compare(a.tag, b.tag);
        return order != 0 ? order : Long.compare(a.sequence, b.sequence);
    };

    final GrantRequest request;
    final LengthClass lengthClass;
    final long sequence;
    /** The KV memory that the request needs, in tokens; 0 for a service call. */
    final long tokens;

    final double expectedAnswerTokens;

    /** The virtual finish time in its queue. */
    double tag;
    /** The grants of its queue before it came or was last unable to run anywhere. */
    long grantsBefore;

    Queued(GrantRequest request, long sequence, double expectedAnswerTokens) {
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

    /** Returns the token cost that fair queueing counts; an answer token costs more than a prompt token. */
    double cost() {
        return request.work() instanceof Work.Prompt p
                ? p.promptTokens() + ANSWER_TOKEN_COST * expectedAnswerTokens
                : 1;
    }

    int promptTokens() {
        return request.work() instanceof Work.Prompt p ? p.promptTokens() : 0;
    }
}
