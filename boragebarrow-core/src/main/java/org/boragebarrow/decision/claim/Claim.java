package org.boragebarrow.decision.claim;

import java.util.Optional;

import org.boragebarrow.model.AttemptId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The value of a claim's table row.
 *
 * @param attempt the attempt that wrote the row
 * @param requestHash the hash of that attempt's request
 * @param period the number of the retention period in which the row was written
 * @param answer the answer; present if and only if the state is {@link State#DONE}
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

    /** The states of a keyed call. */
    enum State {
        /** The attempt may dispatch the call at any time or has already dispatched it. */
        CLAIMED,
        /** The attempt will never dispatch the call; another attempt may claim the key. */
        RELEASED,
        /** The call was dispatched, but its answer was lost. */
        LOST,
        /** The call completed and its answer is stored. */
        DONE
    }
}
