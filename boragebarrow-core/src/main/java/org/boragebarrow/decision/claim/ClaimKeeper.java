package org.boragebarrow.decision.claim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.claim.ClaimAttempt.Phase;
import org.boragebarrow.decision.claim.ClaimKeeperEffect.Granted;
import org.boragebarrow.decision.claim.ClaimKeeperEffect.Read;
import org.boragebarrow.decision.claim.ClaimKeeperEffect.Refused;
import org.boragebarrow.decision.claim.ClaimKeeperEffect.Replayed;
import org.boragebarrow.decision.claim.ClaimKeeperEffect.Swap;
import org.boragebarrow.decision.claim.ClaimKeeperEvent.Abandoned;
import org.boragebarrow.decision.claim.ClaimKeeperEvent.Answered;
import org.boragebarrow.decision.claim.ClaimKeeperEvent.Finished;
import org.boragebarrow.decision.claim.ClaimKeeperEvent.HostsListed;
import org.boragebarrow.decision.claim.ClaimKeeperEvent.Interrupted;
import org.boragebarrow.decision.claim.ClaimKeeperEvent.Requested;
import org.boragebarrow.decision.claim.ClaimKeeperEvent.Ticked;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.AttemptId;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.HostIncarnation;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Row;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Manages the claims of one host's attempts, from the first insert to the stored answer or the tombstone.
 *
 * <p>A claim does not expire: only the attempt that wrote it replaces it, so that a paused host cannot lose a claim
 * without noticing. If the host fails while an attempt holds a claim, the key stays claimed until the retention window
 * has passed.
 */
public final class ClaimKeeper implements Machine<ClaimKeeperEvent, ClaimKeeperEffect> {
    /** The maximum number of attempts that are tracked concurrently. */
    public static final int MAX_ATTEMPTS = 10_000;

    private final Map<AttemptId, ClaimAttempt> attempts = new LinkedHashMap<>();
    private final Map<Long, ClaimAttempt> calls = new HashMap<>();
    private final PeriodReader period = new PeriodReader();
    private ImmutableSet<HostIncarnation> live = ImmutableSet.of();
    private long lastCall;

    /** Returns the number of attempts that are acquiring, holding or releasing a claim or recording an outcome. */
    public int unsettled() {
        return attempts.size();
    }

    @Override
    public ImmutableList<ClaimKeeperEffect> apply(ClaimKeeperEvent event, long nowNanos) {
        Step step = new Step(nowNanos);
        step.readPeriod();
        switch (event) {
            case Requested requested -> step.request(requested);
            case Abandoned abandoned -> step.abandon(abandoned.attempt());
            case Finished finished -> step.finish(finished.attempt(), Optional.of(finished.answer()));
            case Interrupted interrupted -> step.finish(interrupted.attempt(), Optional.empty());
            case Answered answered -> step.answer(answered);
            case HostsListed listed -> live = listed.live();
            case Ticked ticked -> step.tick();
        }
        return step.effects.build();
    }

    private boolean isLost(HostIncarnation incarnation) {
        return !live.isEmpty() && !live.contains(incarnation);
    }

    /** Handles one event and collects its effects. */
    private final class Step {
        private final long nowNanos;
        private final ImmutableList.Builder<ClaimKeeperEffect> effects = ImmutableList.builder();

        Step(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        void readPeriod() {
            if (period.isDue(nowNanos)) {
                lastCall++;
                period.sent(lastCall, nowNanos);
                effects.add(new Read(lastCall, ClaimRows.PERIOD));
            }
        }

        void request(Requested requested) {
            checkArgument(
                    !attempts.containsKey(requested.attempt()),
                    "attempt %s was already requested",
                    requested.attempt());
            if (attempts.size() >= MAX_ATTEMPTS) {
                effects.add(new Refused(requested.attempt(), ErrorKind.OVERLOADED, "too many claims are in progress"));
                return;
            }
            Claim claim =
                    Claim.of(Claim.State.CLAIMED, requested.attempt(), requested.requestHash(), period.numberOrFirst());
            ClaimGoal goal = new ClaimGoal.Acquire(claim, ClaimKeeper.this::isLost);
            ClaimAttempt attempt = new ClaimAttempt(requested, goal);
            attempts.put(attempt.id, attempt);
            if (period.isKnown(nowNanos)) {
                // Most keys are new, so that an insert without a preceding read saves a round trip.
                act(attempt, new ClaimAction.Swap(0, claim));
            } else {
                attempt.retryLater(nowNanos);
            }
        }

        void abandon(AttemptId id) {
            ClaimAttempt attempt = attempts.get(id);
            if (attempt != null && attempt.phase != Phase.ENDING) {
                release(attempt);
            }
        }

        void finish(AttemptId id, Optional<ClaimAnswer> answer) {
            ClaimAttempt attempt = attempts.get(id);
            checkState(attempt != null && attempt.phase == Phase.HELD, "attempt %s ended but was not granted", id);
            long number = period.numberOrFirst();
            Claim ended = answer.isPresent()
                    ? Claim.done(id, attempt.requestHash, number, answer.get())
                    : Claim.of(Claim.State.LOST, id, attempt.requestHash, number);
            end(attempt, new ClaimGoal.Record(ended));
        }

        void answer(Answered answered) {
            if (period.answer(answered.call(), answered.answer(), nowNanos)) {
                return;
            }
            ClaimAttempt attempt = calls.remove(answered.call());
            if (attempt == null || attempt.call != answered.call()) {
                return;
            }
            attempt.call = ClaimAttempt.NO_CALL;
            switch (answered.answer()) {
                case TableAnswer.Found found -> seen(attempt, found.row());
                case TableAnswer.Finished finished -> swapped(attempt, finished.result());
                case TableAnswer.ReadFailed failed -> act(attempt, new ClaimAction.ReadLater());
                case TableAnswer.Scanned scanned -> throw new IllegalStateException("unexpected scan result");
            }
        }

        void tick() {
            for (ClaimAttempt attempt : ImmutableList.copyOf(attempts.values())) {
                if (attempt.phase == Phase.WAITING && nowNanos - attempt.deadlineNanos >= 0) {
                    refuseUnavailable(attempt);
                } else if (attempt.phase != Phase.HELD
                        && attempt.call == ClaimAttempt.NO_CALL
                        && nowNanos - attempt.retryNanos >= 0) {
                    retry(attempt);
                }
            }
        }

        private void retry(ClaimAttempt attempt) {
            if (attempt.goal instanceof ClaimGoal.Acquire acquire) {
                if (!period.isKnown(nowNanos)) {
                    attempt.retryLater(nowNanos);
                    return;
                }
                attempt.goal = acquire.stamped(period.numberOrFirst());
            }
            act(attempt, new ClaimAction.Read());
        }

        private void seen(ClaimAttempt attempt, Optional<Row> row) {
            Optional<ClaimGoal.Seen> current =
                    row.map(found -> new ClaimGoal.Seen(found.version(), ClaimRows.decode(found.value())));
            current.ifPresent(attempt::seen);
            act(attempt, attempt.goal.seen(current));
        }

        private void swapped(ClaimAttempt attempt, CommitResult result) {
            switch (result) {
                case TableService.Committed committed -> act(attempt, attempt.goal.committed());
                case TableService.Conflict conflict -> {
                    // A duplicate of the same swap may have taken effect before and caused the conflict.
                    attempt.swapUnsure();
                    act(attempt, new ClaimAction.Read());
                }
                case TableService.Unavailable unavailable -> act(attempt, new ClaimAction.ReadLater());
                case TableService.Unknown unknown -> {
                    attempt.swapUnsure();
                    act(attempt, new ClaimAction.ReadLater());
                }
            }
        }

        private void act(ClaimAttempt attempt, ClaimAction action) {
            switch (action) {
                case ClaimAction.Read read -> effects.add(new Read(call(attempt), attempt.key.row()));
                case ClaimAction.ReadLater later -> attempt.retryLater(nowNanos);
                case ClaimAction.Swap swap -> {
                    attempt.swapSent(swap.version());
                    String value = ClaimRows.encode(swap.claim());
                    effects.add(new Swap(call(attempt), new ClaimSwap(attempt.key.row(), swap.version(), value)));
                }
                case ClaimAction.Grant grant -> grant(attempt);
                case ClaimAction.Refuse refuse -> refuse(attempt, refuse.kind(), refuse.message());
                case ClaimAction.Replay replay -> {
                    effects.add(new Replayed(attempt.id, replay.answer()));
                    release(attempt);
                }
                case ClaimAction.Settle complete -> settle(attempt);
            }
        }

        private long call(ClaimAttempt attempt) {
            lastCall++;
            attempt.call = lastCall;
            calls.put(lastCall, attempt);
            return lastCall;
        }

        private void grant(ClaimAttempt attempt) {
            checkState(attempt.phase == Phase.WAITING, "attempt %s was granted in phase %s", attempt.id, attempt.phase);
            attempt.phase = Phase.HELD;
            if (nowNanos - attempt.deadlineNanos >= 0) {
                refuseUnavailable(attempt);
            } else {
                effects.add(new Granted(attempt.id));
            }
        }

        private void refuseUnavailable(ClaimAttempt attempt) {
            refuse(attempt, ErrorKind.STORE_UNAVAILABLE, "the table service did not answer in time");
        }

        private void refuse(ClaimAttempt attempt, ErrorKind kind, String message) {
            effects.add(new Refused(attempt.id, kind, message));
            release(attempt);
        }

        private void release(ClaimAttempt attempt) {
            if (!attempt.mayHoldClaim()) {
                settle(attempt);
                return;
            }
            Claim tombstone = Claim.of(Claim.State.RELEASED, attempt.id, attempt.requestHash, period.numberOrFirst());
            end(attempt, new ClaimGoal.Release(tombstone, attempt.highestAwaited()));
        }

        private void settle(ClaimAttempt attempt) {
            attempts.remove(attempt.id);
            // An answer that arrives later must not resume the attempt.
            attempt.call = ClaimAttempt.NO_CALL;
        }

        private void end(ClaimAttempt attempt, ClaimGoal goal) {
            attempt.phase = Phase.ENDING;
            attempt.goal = goal;
            act(attempt, new ClaimAction.Read());
        }
    }
}
