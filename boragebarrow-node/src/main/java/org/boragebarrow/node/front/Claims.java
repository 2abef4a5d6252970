package org.boragebarrow.node.front;

import java.util.concurrent.Executor;

import org.boragebarrow.decision.claim.ClaimAnswer;
import org.boragebarrow.decision.claim.ClaimKey;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.RequestException;

/** Claims idempotency keys so that a call with a key is dispatched at most once. Thread-safe. */
public interface Claims {
    /**
     * Requests the claim of a key.
     *
     * @param requestHash a hash over the method, service, path and body
     * @param executor runs the listener; the listener is called at most once, and not after {@link #abandon}
     */
    void request(
            AttemptId attempt,
            ClaimKey key,
            String requestHash,
            long deadlineNanos,
            Executor executor,
            Listener listener);

    /** Abandons an attempt that has not been and will not be dispatched. */
    void abandon(AttemptId attempt);

    /** Records the complete response to a dispatched attempt. */
    void finish(AttemptId attempt, ClaimAnswer answer);

    /** Records that the response to a dispatched attempt was lost. */
    void interrupt(AttemptId attempt);

    /** Receives the result of a claim request. */
    interface Listener {
        /** Called when the attempt may dispatch its call, once. */
        void onGranted();

        /** Called when the attempt must not dispatch its call. */
        void onRefused(RequestException refusal);

        /** Called with the recorded response of the earlier attempt that ran. */
        void onReplayed(ClaimAnswer answer);
    }
}
