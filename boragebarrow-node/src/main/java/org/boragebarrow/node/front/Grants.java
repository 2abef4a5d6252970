package org.boragebarrow.node.front;

import java.util.concurrent.Executor;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.dispatch.DispatchEvent.Outcome;
import org.boragebarrow.decision.dispatch.GrantRequest;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.RequestException;
import org.boragebarrow.model.Target;

/** Asks the zone's dispatcher where and when attempts may run. Thread-safe. */
public interface Grants {
    /**
     * Asks for a grant.
     *
     * @param executor runs the listener; the listener is called at most once, and not after {@link #withdraw}
     */
    void acquire(GrantRequest request, Executor executor, Listener listener);

    /** Gives up an attempt that got no grant yet, or that does not use its grant. */
    void withdraw(AttemptId attempt);

    /** Reports how a granted attempt ended. */
    void finish(AttemptId attempt, Target target, int answerTokens, Outcome outcome);

    /** Receives the answer. */
    interface Listener {
        /** Receives a grant: the target, or the engines of a gang with its head first. */
        void onGranted(ImmutableList<Target> targets, int priority);

        /** Receives a refusal of an attempt that did not run. */
        void onRefused(RequestException refusal);
    }
}
