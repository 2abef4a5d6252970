package org.boragebarrow.decision.claim;

import java.util.Optional;
import java.util.function.Predicate;

import org.boragebarrow.decision.claim.ClaimAction.Complete;
import org.boragebarrow.decision.claim.ClaimAction.Grant;
import org.boragebarrow.decision.claim.ClaimAction.ReadLater;
import org.boragebarrow.decision.claim.ClaimAction.Refuse;
import org.boragebarrow.decision.claim.ClaimAction.Replay;
import org.boragebarrow.decision.claim.ClaimAction.Swap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkState;

/** The state to which an attempt brings the row of its key; selects the next action from the row that was read. */
sealed interface ClaimGoal {
    /** Returns the next action after a read of the row, which may return an outdated version. */
    ClaimAction afterRead(Optional<VersionedClaim> row);

    /** Returns the next action after a swap of this goal is known to have taken effect. */
    ClaimAction afterCommit();

    /** A claim with the version of its row. */
    record VersionedClaim(long version, Claim claim) {}

    /**
     * Acquires the claim for the attempt.
     *
     * @param claim the claim that the attempt writes
     * @param isLost whether a host incarnation is no longer alive
     */
    record Acquire(Claim claim, Predicate<HostIncarnation> isLost) implements ClaimGoal {
        @Override
        public ClaimAction afterRead(Optional<VersionedClaim> row) {
            if (row.isEmpty()) {
                return new Swap(0, claim);
            }
            Claim current = row.get().claim();
            if (current.attempt().equals(claim.attempt())) {
                checkState(current.state() == Claim.State.CLAIMED, "attempt has already ended: %s", current);
                return new Grant();
            }
            if (current.state() == Claim.State.RELEASED) {
                return new Swap(row.get().version(), claim);
            }
            if (!current.requestHash().equals(claim.requestHash())) {
                return new Refuse(ErrorKind.KEY_REUSED, "the idempotency key belongs to another request");
            }
            return switch (current.state()) {
                case DONE -> new Replay(current.answer().orElseThrow());
                case LOST -> refuseUnknownOutcome();
                default ->
                    isLost.test(current.attempt().owner())
                            ? refuseUnknownOutcome()
                            : new Refuse(ErrorKind.DUPLICATE_IN_PROGRESS, "another attempt is in progress");
            };
        }

        @Override
        public ClaimAction afterCommit() {
            return new Grant();
        }

        /** Returns a copy of this goal whose claim has the given retention period. */
        Acquire withPeriod(long period) {
            return new Acquire(Claim.of(Claim.State.CLAIMED, claim.attempt(), claim.requestHash(), period), isLost);
        }

        private static ClaimAction refuseUnknownOutcome() {
            return new Refuse(ErrorKind.OUTCOME_UNKNOWN, "an earlier attempt was interrupted and may have run");
        }
    }

    /**
     * Ensures that the attempt does not hold the claim and will not acquire it later, although a swap of the attempt
     * may still be in flight.
     *
     * <p>This holds once the version of the row is above every version that such a swap expects, because of a tombstone
     * or of another attempt's claim.
     *
     * @param tombstone the released claim of the attempt
     * @param highestExpectedVersion the highest version that a swap of the attempt was conditional on
     */
    record Release(Claim tombstone, long highestExpectedVersion) implements ClaimGoal {
        @Override
        public ClaimAction afterRead(Optional<VersionedClaim> row) {
            if (row.isEmpty()) {
                return new Swap(0, tombstone);
            }
            Claim current = row.get().claim();
            long version = row.get().version();
            if (current.attempt().equals(tombstone.attempt())) {
                return current.state() == Claim.State.RELEASED ? new Complete() : new Swap(version, tombstone);
            }
            if (version > highestExpectedVersion) {
                return new Complete();
            }
            return current.state() == Claim.State.RELEASED ? new Swap(version, tombstone) : new ReadLater();
        }

        @Override
        public ClaimAction afterCommit() {
            return new Complete();
        }
    }

    /**
     * Records the outcome of the dispatched call.
     *
     * @param finalClaim the claim with its final state
     */
    record RecordOutcome(Claim finalClaim) implements ClaimGoal {
        @Override
        public ClaimAction afterRead(Optional<VersionedClaim> row) {
            AttemptId own = finalClaim.attempt();
            if (row.isEmpty() || !row.get().claim().attempt().equals(own)) {
                return new ReadLater();
            }
            boolean claimed = row.get().claim().state() == Claim.State.CLAIMED;
            return claimed ? new Swap(row.get().version(), finalClaim) : new Complete();
        }

        @Override
        public ClaimAction afterCommit() {
            return new Complete();
        }
    }
}
