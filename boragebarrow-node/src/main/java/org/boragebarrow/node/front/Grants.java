package org.boragebarrow.node.front;

import java.util.concurrent.Executor;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.dispatch.DispatchEvent.Outcome;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.Target;

/** Requests grants, which determine where and when attempts run, from the zone's dispatcher. Thread-safe. */
public interface Grants {
    /**
     * Requests a grant.
     *
     * @param executor runs the listener; the listener is called at most once, and not after {@link #withdraw}
     */
    void acquire(GrantRequest request, Executor executor, Listener listener);

    /** Withdraws an attempt that has no grant yet or does not use its grant. */
    void withdraw(AttemptId attempt);

    /** Reports how a granted attempt ended. */
    void finish(AttemptId attempt, Target target, int answerTokens, Outcome outcome);

    /** Receives the result of a grant request. */
    interface Listener {
        /** Called with the granted target, or with the engines of a gang, the head first. */
        void onGranted(ImmutableList<Target> targets, int priority);

        /** Called when the attempt is refused; it did not run. */
        void onRefused(RequestException refusal);
    }
}
