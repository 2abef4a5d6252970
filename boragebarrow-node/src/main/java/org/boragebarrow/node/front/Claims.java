package org.boragebarrow.node.front;

import java.util.concurrent.Executor;

import org.boragebarrow.decision.claim.ClaimAnswer;
import org.boragebarrow.decision.claim.ClaimKey;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.RequestException;

/** Claims idempotency keys, so that a keyed call is dispatched at most once. Thread-safe. */
public interface Claims {
    /**
     * Asks for the claim of a key.
     *
     * @param requestHash a hash over the method, path and body
     * @param executor runs the listener; the listener is called at most once, and not after {@link #abandon}
     */
    void request(
            AttemptId attempt,
            ClaimKey key,
            String requestHash,
            long deadlineNanos,
            Executor executor,
            Listener listener);

    /** Gives an attempt up that was not and will not be dispatched. */
    void abandon(AttemptId attempt);

    /** Records the whole answer of a dispatched attempt. */
    void finish(AttemptId attempt, ClaimAnswer answer);

    /** Records that the answer of a dispatched attempt is lost. */
    void interrupt(AttemptId attempt);

    /** Receives what became of the claim. */
    interface Listener {
        /** Receives that the attempt may dispatch its call, once. */
        void onGranted();

        /** Receives that the attempt must not dispatch. */
        void onRefused(RequestException refusal);

        /** Receives the answer of the attempt that ran. */
        void onReplayed(ClaimAnswer answer);
    }
}
