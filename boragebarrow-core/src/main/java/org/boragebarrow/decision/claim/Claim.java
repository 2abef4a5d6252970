package org.boragebarrow.decision.claim;

import java.util.Optional;

import org.boragebarrow.model.AttemptId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The value of a claim's row.
 *
 * @param attempt the attempt that wrote it
 * @param requestHash the hash of the request that the attempt carried
 * @param period the retention period in which it was written
 * @param answer the answer, exactly when the state is {@link State#DONE}
 */
record Claim(State state, AttemptId attempt, String requestHash, long period, Optional<ClaimAnswer> answer) {
    Claim {
        checkNotNull(state);
        checkNotNull(attempt);
        checkNotNull(requestHash);
        checkArgument(period > 0, "period must be positive: %s", period);
        checkArgument(answer.isPresent() == (state == State.DONE), "%s with answer %s", state, answer);
    }

    static Claim of(State state, AttemptId attempt, String requestHash, long period) {
        return new Claim(state, attempt, requestHash, period, Optional.empty());
    }

    static Claim done(AttemptId attempt, String requestHash, long period, ClaimAnswer answer) {
        return new Claim(State.DONE, attempt, requestHash, period, Optional.of(answer));
    }

    /** How far the call came. */
    enum State {
        /** The attempt may dispatch the call at any moment or has done so. */
        CLAIMED,
        /** The attempt never dispatches the call; another one may claim the key. */
        RELEASED,
        /** The call was dispatched and its answer is lost. */
        LOST,
        /** The call ran and its answer is kept. */
        DONE
    }
}
