package org.boragebarrow.decision.claim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.claim.ClaimAttempt.Phase;
import org.boragebarrow.decision.claim.ClaimManagerEffect.Granted;
import org.boragebarrow.decision.claim.ClaimManagerEffect.Read;
import org.boragebarrow.decision.claim.ClaimManagerEffect.Refused;
import org.boragebarrow.decision.claim.ClaimManagerEffect.Replayed;
import org.boragebarrow.decision.claim.ClaimManagerEffect.Swap;
import org.boragebarrow.decision.claim.ClaimManagerEvent.Abandoned;
import org.boragebarrow.decision.claim.ClaimManagerEvent.Answered;
import org.boragebarrow.decision.claim.ClaimManagerEvent.Finished;
import org.boragebarrow.decision.claim.ClaimManagerEvent.HostsListed;
import org.boragebarrow.decision.claim.ClaimManagerEvent.Interrupted;
import org.boragebarrow.decision.claim.ClaimManagerEvent.Requested;
import org.boragebarrow.decision.claim.ClaimManagerEvent.Ticked;
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
public final class ClaimManager implements Machine<ClaimManagerEvent, ClaimManagerEffect> {
    /** The maximum number of attempts that are tracked concurrently. */
    public static final int MAX_ATTEMPTS = 10_000;

    private final Map<AttemptId, ClaimAttempt> attempts = new LinkedHashMap<>();
    private final Map<Long, ClaimAttempt> attemptsByCall = new HashMap<>();
    private final PeriodReader periodReader = new PeriodReader();
    private ImmutableSet<HostIncarnation> liveHosts = ImmutableSet.of();
    private long lastCallId;

    /** Returns the number of attempts that are acquiring, holding or releasing a claim or recording an outcome. */
    public int activeAttempts() {
        return attempts.size();
    }

    @Override
    public ImmutableList<ClaimManagerEffect> apply(ClaimManagerEvent event, long nowNanos) {
        Step step = new Step(nowNanos);
        step.readPeriod();
        switch (event) {
            case Requested requested -> step.request(requested);
            case Abandoned abandoned -> step.abandon(abandoned.attempt());
            case Finished finished -> step.finish(finished.attempt(), Optional.of(finished.answer()));
            case Interrupted interrupted -> step.finish(interrupted.attempt(), Optional.empty());
            case Answered answered -> step.handleAnswer(answered);
            case HostsListed listed -> liveHosts = listed.live();
            case Ticked ticked -> step.tick();
        }
        return step.effects.build();
    }

    private boolean isLost(HostIncarnation incarnation) {
        return !liveHosts.isEmpty() && !liveHosts.contains(incarnation);
    }

    /** Handles one event and collects its effects. */
    private final class Step {
        private final long nowNanos;
        private final ImmutableList.Builder<ClaimManagerEffect> effects = ImmutableList.builder();

        Step(long nowNanos) {
            this.nowNanos = nowNanos;
        }

        void readPeriod() {
            if (periodReader.isDue(nowNanos)) {
                lastCallId++;
                periodReader.recordSent(lastCallId, nowNanos);
                effects.add(new Read(lastCallId, ClaimRows.PERIOD_KEY));
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
            Claim claim = Claim.of(
                    Claim.State.CLAIMED, requested.attempt(), requested.requestHash(), periodReader.numberOrFirst());
            ClaimGoal goal = new ClaimGoal.Acquire(claim, ClaimManager.this::isLost);
            ClaimAttempt attempt = new ClaimAttempt(requested, goal);
            attempts.put(attempt.id, attempt);
            if (periodReader.isFresh(nowNanos)) {
                // Most keys are new, so an insert without a preceding read saves a round trip.
                perform(attempt, new ClaimAction.Swap(0, claim));
            } else {
                attempt.scheduleRetry(nowNanos);
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
            long number = periodReader.numberOrFirst();
            Claim ended = answer.isPresent()
                    ? Claim.done(id, attempt.requestHash, number, answer.get())
                    : Claim.of(Claim.State.LOST, id, attempt.requestHash, number);
            startEnding(attempt, new ClaimGoal.RecordOutcome(ended));
        }

        void handleAnswer(Answered answered) {
            if (periodReader.handleAnswer(answered.callId(), answered.answer(), nowNanos)) {
                return;
            }
            ClaimAttempt attempt = attemptsByCall.remove(answered.callId());
            if (attempt == null || attempt.pendingCall != answered.callId()) {
                return;
            }
            attempt.pendingCall = ClaimAttempt.NO_CALL;
            switch (answered.answer()) {
                case TableAnswer.RowRead found -> handleRow(attempt, found.row());
                case TableAnswer.CommitFinished finished -> handleSwapResult(attempt, finished.result());
                case TableAnswer.ReadFailed failed -> perform(attempt, new ClaimAction.ReadLater());
                case TableAnswer.Scanned scanned -> throw new IllegalStateException("unexpected scan result");
            }
        }

        void tick() {
            for (ClaimAttempt attempt : ImmutableList.copyOf(attempts.values())) {
                if (attempt.phase == Phase.ACQUIRING && nowNanos - attempt.deadlineNanos >= 0) {
                    refuseUnavailable(attempt);
                } else if (attempt.phase != Phase.HELD
                        && attempt.pendingCall == ClaimAttempt.NO_CALL
                        && nowNanos - attempt.retryNanos >= 0) {
                    retry(attempt);
                }
            }
        }

        private void retry(ClaimAttempt attempt) {
            if (attempt.goal instanceof ClaimGoal.Acquire acquire) {
                if (!periodReader.isFresh(nowNanos)) {
                    attempt.scheduleRetry(nowNanos);
                    return;
                }
                attempt.goal = acquire.withPeriod(periodReader.numberOrFirst());
            }
            perform(attempt, new ClaimAction.Read());
        }

        private void handleRow(ClaimAttempt attempt, Optional<Row> row) {
            Optional<ClaimGoal.VersionedClaim> current =
                    row.map(found -> new ClaimGoal.VersionedClaim(found.version(), ClaimRows.decode(found.value())));
            current.ifPresent(attempt::recordRead);
            perform(attempt, attempt.goal.afterRead(current));
        }

        private void handleSwapResult(ClaimAttempt attempt, CommitResult result) {
            switch (result) {
                case TableService.Committed committed -> perform(attempt, attempt.goal.afterCommit());
                case TableService.Conflict conflict -> {
                    // A duplicate of the same swap may have taken effect before and caused the conflict.
                    attempt.markSwapUncertain();
                    perform(attempt, new ClaimAction.Read());
                }
                case TableService.Unavailable unavailable -> perform(attempt, new ClaimAction.ReadLater());
                case TableService.Unknown unknown -> {
                    attempt.markSwapUncertain();
                    perform(attempt, new ClaimAction.ReadLater());
                }
            }
        }

        private void perform(ClaimAttempt attempt, ClaimAction action) {
            switch (action) {
                case ClaimAction.Read read -> effects.add(new Read(registerCall(attempt), attempt.key.rowKey()));
                case ClaimAction.ReadLater later -> attempt.scheduleRetry(nowNanos);
                case ClaimAction.Swap swap -> {
                    attempt.recordSwap(swap.expectedVersion());
                    String value = ClaimRows.encode(swap.claim());
                    effects.add(new Swap(
                            registerCall(attempt), new ClaimSwap(attempt.key.rowKey(), swap.expectedVersion(), value)));
                }
                case ClaimAction.Grant grant -> grant(attempt);
                case ClaimAction.Refuse refuse -> refuse(attempt, refuse.kind(), refuse.message());
                case ClaimAction.Replay replay -> {
                    effects.add(new Replayed(attempt.id, replay.answer()));
                    release(attempt);
                }
                case ClaimAction.Complete complete -> complete(attempt);
            }
        }

        private long registerCall(ClaimAttempt attempt) {
            lastCallId++;
            attempt.pendingCall = lastCallId;
            attemptsByCall.put(lastCallId, attempt);
            return lastCallId;
        }

        private void grant(ClaimAttempt attempt) {
            checkState(
                    attempt.phase == Phase.ACQUIRING, "attempt %s was granted in phase %s", attempt.id, attempt.phase);
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
                complete(attempt);
                return;
            }
            Claim tombstone =
                    Claim.of(Claim.State.RELEASED, attempt.id, attempt.requestHash, periodReader.numberOrFirst());
            startEnding(attempt, new ClaimGoal.Release(tombstone, attempt.highestExpectedVersion()));
        }

        private void complete(ClaimAttempt attempt) {
            attempts.remove(attempt.id);
            // An answer that arrives later must not resume the attempt.
            attempt.pendingCall = ClaimAttempt.NO_CALL;
        }

        private void startEnding(ClaimAttempt attempt, ClaimGoal goal) {
            attempt.phase = Phase.ENDING;
            attempt.goal = goal;
            perform(attempt, new ClaimAction.Read());
        }
    }
}
