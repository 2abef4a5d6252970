package org.boragebarrow.decision.claim;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The events of a {@link ClaimManager}. */
public sealed interface ClaimManagerEvent {
    /**
     * An attempt requests the claim of its key in order to dispatch a keyed call.
     *
     * @param requestHash a hash of the method, path and body
     * @param deadlineNanos the time after which the claim is no longer acquired, on the host's monotonic clock
     */
    record Requested(AttemptId attempt, ClaimKey key, String requestHash, long deadlineNanos)
            implements ClaimManagerEvent {
        public Requested {
            checkNotNull(attempt);
            checkNotNull(key);
            checkArgument(!requestHash.isEmpty(), "empty request hash");
        }
    }

    /** The attempt, granted or not yet granted, is abandoned: it was not and will not be dispatched. */
    record Abandoned(AttemptId attempt) implements ClaimManagerEvent {}

    /** The granted attempt was dispatched and its answer is complete. */
    record Finished(AttemptId attempt, ClaimAnswer answer) implements ClaimManagerEvent {}

    /** The granted attempt was dispatched, but its answer was lost. */
    record Interrupted(AttemptId attempt) implements ClaimManagerEvent {}

    /**
     * A read or a swap completed; each call must complete exactly once, a lost one as a failed read or an unknown
     * result.
     *
     * <p>An unavailable result guarantees that no copy of the swap takes effect, even if it was sent more than once. A
     * conflict does not guarantee this for swaps that were sent more than once.
     */
    record Answered(long callId, TableAnswer answer) implements ClaimManagerEvent {}

    /** The live hosts, replacing the previous list; the attempts of all other hosts are treated as interrupted. */
    record HostsListed(ImmutableSet<HostIncarnation> live) implements ClaimManagerEvent {}

    /** Time passed. */
    record Ticked() implements ClaimManagerEvent {}
}
