package org.boragebarrow.decision.claim;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostLife;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** What happens to a claim keeper. */
public sealed interface ClaimKeeperEvent {
    /**
     * An attempt wants to dispatch a keyed call.
     *
     * @param requestHash a hash over the method, path and body
     * @param deadlineNanos when the attempt no longer wants the claim
     */
    record Requested(AttemptId attempt, ClaimKey key, String requestHash, long deadlineNanos)
            implements ClaimKeeperEvent {
        public Requested {
            checkNotNull(attempt);
            checkNotNull(key);
            checkArgument(!requestHash.isEmpty(), "empty request hash");
        }
    }

    /** The attempt, which was granted or still waits, is given up for good and was not and will not be dispatched. */
    record Abandoned(AttemptId attempt) implements ClaimKeeperEvent {}

    /** The granted attempt was dispatched and has its whole answer. */
    record Finished(AttemptId attempt, ClaimAnswer answer) implements ClaimKeeperEvent {}

    /** The granted attempt was dispatched and its answer is lost. */
    record Interrupted(AttemptId attempt) implements ClaimKeeperEvent {}

    /**
     * A read or a swap ended; each call must end once, a lost one as a failed read or an unknown result.
     *
     * <p>An unavailable result promises that no copy of the swap takes effect, however often it was sent; a conflict
     * promises nothing of the kind for swaps that were sent more than once.
     */
    record Answered(long call, TableAnswer answer) implements ClaimKeeperEvent {}

    /** The hosts that are alive, replacing the earlier list; the attempts of all others count as interrupted. */
    record HostsListed(ImmutableSet<HostLife> live) implements ClaimKeeperEvent {}

    /** Time passed. */
    record Ticked() implements ClaimKeeperEvent {}
}
