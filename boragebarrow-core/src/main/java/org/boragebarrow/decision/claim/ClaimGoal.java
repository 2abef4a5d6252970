package org.boragebarrow.decision.claim;

import java.util.Optional;
import java.util.function.Predicate;

import org.boragebarrow.decision.claim.ClaimAction.Grant;
import org.boragebarrow.decision.claim.ClaimAction.ReadLater;
import org.boragebarrow.decision.claim.ClaimAction.Refuse;
import org.boragebarrow.decision.claim.ClaimAction.Replay;
import org.boragebarrow.decision.claim.ClaimAction.Settle;
import org.boragebarrow.decision.claim.ClaimAction.Swap;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostLife;

import static com.google.common.base.Preconditions.checkState;

/** What an attempt wants its key's row to become; decides the next action from what the row shows. */
sealed interface ClaimGoal {
    /** Returns the action after the row was read, maybe as it was some time ago. */
    ClaimAction seen(Optional<Seen> row);

    /** Returns the action after the goal's own swap has certainly taken effect. */
    ClaimAction committed();

    /** A claim as it was read. */
    record Seen(long version, Claim claim) {}

    /** Makes the claim the attempt's own. */
    record Acquire(Claim claim, Predicate<HostLife> lost) implements ClaimGoal {
        @Override
        public ClaimAction seen(Optional<Seen> row) {
            if (row.isEmpty()) {
                return new Swap(0, claim);
            }
            Claim present = row.get().claim();
            if (present.attempt().equals(claim.attempt())) {
                checkState(present.state() == Claim.State.CLAIMED, "%s was given up before", present);
                return new Grant();
            }
            if (present.state() == Claim.State.RELEASED) {
                return new Swap(row.get().version(), claim);
            }
            if (!present.requestHash().equals(claim.requestHash())) {
                return new Refuse(ErrorKind.KEY_REUSED, "the idempotency key belongs to another request");
            }
            return switch (present.state()) {
                case DONE -> new Replay(present.answer().orElseThrow());
                case LOST -> unknown();
                default ->
                    lost.test(present.attempt().owner())
                            ? unknown()
                            : new Refuse(ErrorKind.DUPLICATE_IN_PROGRESS, "another attempt is in progress");
            };
        }

        @Override
        public ClaimAction committed() {
            return new Grant();
        }

        /** Returns this goal with a claim of another retention period. */
        Acquire stamped(long period) {
            return new Acquire(Claim.of(Claim.State.CLAIMED, claim.attempt(), claim.requestHash(), period), lost);
        }

        private static ClaimAction unknown() {
            return new Refuse(ErrorKind.OUTCOME_UNKNOWN, "an earlier attempt was interrupted and may have run");
        }
    }

    /**
     * Makes sure that the key is not claimed by the attempt and never will be, although a swap of it may still be on its
     * way.
     *
     * <p>The row is moved beyond every version that such a swap waits for: by a tombstone, or by another attempt's claim.
     *
     * @param tombstone the attempt's own released claim
     * @param highestAwaited the highest version that a swap of the attempt was conditional on
     */
    record Release(Claim tombstone, long highestAwaited) implements ClaimGoal {
        @Override
        public ClaimAction seen(Optional<Seen> row) {
            if (row.isEmpty()) {
                return new Swap(0, tombstone);
            }
            Claim present = row.get().claim();
            long version = row.get().version();
            if (present.attempt().equals(tombstone.attempt())) {
                return present.state() == Claim.State.RELEASED ? new Settle() : new Swap(version, tombstone);
            }
            if (version > highestAwaited) {
                return new Settle();
            }
            return present.state() == Claim.State.RELEASED ? new Swap(version, tombstone) : new ReadLater();
        }

        @Override
        public ClaimAction committed() {
            return new Settle();
        }
    }

    /** Records how the dispatched call ended. */
    record Record(Claim ended) implements ClaimGoal {
        @Override
        public ClaimAction seen(Optional<Seen> row) {
            AttemptId own = ended.attempt();
            if (row.isEmpty() || !row.get().claim().attempt().equals(own)) {
                return new ReadLater();
            }
            boolean claimed = row.get().claim().state() == Claim.State.CLAIMED;
            return claimed ? new Swap(row.get().version(), ended) : new Settle();
        }

        @Override
        public ClaimAction committed() {
            return new Settle();
        }
    }
}
