package org.boragebarrow.decision.change;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.change.ChangeWriterEffect.Accepted;
import org.boragebarrow.decision.change.ChangeWriterEffect.Call;
import org.boragebarrow.decision.change.ChangeWriterEffect.Rejected;
import org.boragebarrow.decision.change.ChangeWriterEvent.Answered;
import org.boragebarrow.decision.change.ChangeWriterEvent.Submitted;
import org.boragebarrow.decision.change.ChangeWriterEvent.Ticked;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.ErrorKind;
import org.boragebarrow.model.ExecutionStatus;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Row;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Appends changes to the log, one at a time in the order of their submission.
 *
 * <p>Any number of writers may run concurrently. Every append is conditional on the exact version of the head row, so
 * of all appends that were ever sent for one head, including delayed ones, at most one takes effect. After a lost
 * answer the writer reads the change id back and resends the append until either the read or the append determines the
 * outcome.
 */
public final class ChangeWriter implements Machine<ChangeWriterEvent, ChangeWriterEffect> {
    /** The maximum number of queued requests. */
    public static final int MAX_QUEUED = 256;

    /** The time after which an unfinished request is rejected with an unknown outcome. */
    public static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(100).toNanos();

    private static final int MAX_IMMEDIATE_RETRIES = 3;

    private final ChangeCodec codec;
    private final Deque<QueuedRequest> queue = new ArrayDeque<>();
    private Optional<PendingAppend> append = Optional.empty();
    private long lastCallId;

    public ChangeWriter(ChangeCodec codec) {
        this.codec = checkNotNull(codec);
    }

    @Override
    public ImmutableList<ChangeWriterEffect> apply(ChangeWriterEvent event, long nowNanos) {
        ImmutableList.Builder<ChangeWriterEffect> effects = ImmutableList.builder();
        switch (event) {
            case Submitted submitted -> submit(submitted, nowNanos, effects);
            case Answered answered -> handleAnswer(answered, nowNanos, effects);
            case Ticked ticked -> tick(nowNanos, effects);
        }
        startNext(effects);
        return effects.build();
    }

    private void submit(Submitted submitted, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        if (queue.size() == MAX_QUEUED) {
            effects.add(rejected(
                    submitted, ErrorKind.OVERLOADED, ExecutionStatus.UNKNOWN, "the queue of pending changes is full"));
            return;
        }
        queue.add(new QueuedRequest(submitted, nowNanos + REQUEST_TIMEOUT.toNanos()));
    }

    private void handleAnswer(Answered answered, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        if (append.isEmpty() || answered.callId() != append.get().callId) {
            return;
        }
        PendingAppend current = append.get();
        current.callId = PendingAppend.NO_CALL;
        switch (answered.answer()) {
            case TableAnswer.RowRead found -> handleRow(current, found.row(), effects);
            case TableAnswer.CommitFinished finished -> finish(current, finished.result(), nowNanos, effects);
            case TableAnswer.ReadFailed failed -> retryLater(current, nowNanos, effects);
            case TableAnswer.Scanned scanned -> throw new IllegalStateException("unexpected scan result: " + scanned);
        }
    }

    private void tick(long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        while (!queue.isEmpty() && nowNanos - queue.peek().deadlineNanos >= 0) {
            effects.add(unavailable(queue.remove().submitted));
        }
        if (append.isEmpty()) {
            return;
        }
        PendingAppend current = append.get();
        if (nowNanos - current.deadlineNanos >= 0) {
            finish(unavailable(current.submitted), effects);
        } else if (current.callId == PendingAppend.NO_CALL && nowNanos - current.retryNanos >= 0) {
            restart(current, effects);
        }
    }

    private void startNext(ImmutableList.Builder<ChangeWriterEffect> effects) {
        if (append.isPresent() || queue.isEmpty()) {
            return;
        }
        QueuedRequest next = queue.remove();
        append = Optional.of(new PendingAppend(next.submitted, next.deadlineNanos));
        restart(append.get(), effects);
    }

    private void restart(PendingAppend current, ImmutableList.Builder<ChangeWriterEffect> effects) {
        current.step = Step.READ_CHANGE_ID;
        call(current, new TableCall.Get(ChangeRows.changeId(current.submitted.changeId())), effects);
    }

    private void handleRow(
            PendingAppend current, Optional<Row> row, ImmutableList.Builder<ChangeWriterEffect> effects) {
        switch (current.step) {
            case READ_CHANGE_ID -> {
                if (row.isPresent()) {
                    finish(duplicateOutcome(current, codec.decode(row.get().value())), effects);
                    return;
                }
                current.step = Step.READ_HEAD;
                call(current, new TableCall.Get(ChangeRows.HEAD), effects);
            }
            case READ_HEAD -> {
                current.head = row;
                current.step = Step.READ_ENTRY;
                call(
                        current,
                        new TableCall.Get(
                                ChangeRows.entry(current.submitted.entry().key())),
                        effects);
            }
            case READ_ENTRY -> {
                current.entry = row;
                current.step = current.hasExpectedVersion(codec) ? Step.COMMIT : Step.VERIFY_CONFLICT;
                call(current, current.step == Step.COMMIT ? current.commit(codec) : current.verification(), effects);
            }
            default -> throw new IllegalStateException("unexpected read result in step " + current.step);
        }
    }

    private void finish(
            PendingAppend current,
            CommitResult result,
            long nowNanos,
            ImmutableList.Builder<ChangeWriterEffect> effects) {
        switch (result) {
            case TableService.Committed committed -> finish(committedOutcome(current), effects);
            case TableService.Conflict conflict -> handleConflict(current, nowNanos, effects);
            case TableService.Unavailable unavailable -> retryLater(current, nowNanos, effects);
            case TableService.Unknown unknown -> retryLater(current, nowNanos, effects);
        }
    }

    private void handleConflict(
            PendingAppend current, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        current.conflicts++;
        if (current.conflicts > MAX_IMMEDIATE_RETRIES) {
            // Repeated conflicts are due to stale reads rather than to concurrent writers.
            retryLater(current, nowNanos, effects);
        } else {
            restart(current, effects);
        }
    }

    private ChangeWriterEffect committedOutcome(PendingAppend current) {
        if (current.step == Step.COMMIT) {
            return new Accepted(current.submitted.request(), current.change());
        }
        Optional<Change> present = current.entry.map(row -> codec.decode(row.value()));
        String message = "the entry's version is " + current.entryVersion(codec);
        return new Rejected(
                current.submitted.request(), ErrorKind.VERSION_CONFLICT, ExecutionStatus.NO, message, present);
    }

    private static ChangeWriterEffect duplicateOutcome(PendingAppend current, Change earlier) {
        if (earlier.entry().equals(current.submitted.entry())) {
            return new Accepted(current.submitted.request(), earlier);
        }
        String message =
                "the change id is already used by change " + earlier.number() + ", which has a different entry";
        return rejected(current.submitted, ErrorKind.KEY_REUSED, ExecutionStatus.UNKNOWN, message);
    }

    private void retryLater(PendingAppend current, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        current.retryNanos = nowNanos + RETRY_DELAY_NANOS;
        if (current.retryNanos - current.deadlineNanos >= 0) {
            finish(unavailable(current.submitted), effects);
        }
    }

    private void call(PendingAppend current, TableCall table, ImmutableList.Builder<ChangeWriterEffect> effects) {
        lastCallId++;
        current.callId = lastCallId;
        effects.add(new Call(lastCallId, table));
    }

    private void finish(ChangeWriterEffect outcome, ImmutableList.Builder<ChangeWriterEffect> effects) {
        append = Optional.empty();
        effects.add(outcome);
    }

    private static Rejected unavailable(Submitted submitted) {
        String message = "the table service did not answer in time; retry with the same change id";
        return rejected(submitted, ErrorKind.STORE_UNAVAILABLE, ExecutionStatus.UNKNOWN, message);
    }

    private static Rejected rejected(
            Submitted submitted, ErrorKind kind, ExecutionStatus executionStatus, String message) {
        return new Rejected(submitted.request(), kind, executionStatus, message, Optional.empty());
    }

    private record QueuedRequest(Submitted submitted, long deadlineNanos) {}

    /** The steps of an append. After a conflict or a failed call, an append restarts at the first step. */
    enum Step {
        /** Checks whether an earlier attempt with the same change id has committed. */
        READ_CHANGE_ID,
        /** Reads the number of the last change. */
        READ_HEAD,
        /** Reads the last change to the entry. */
        READ_ENTRY,
        /** Commits the change together with the new head. */
        COMMIT,
        /** Verifies that the entry's version is not the expected one and that no earlier attempt has committed. */
        VERIFY_CONFLICT
    }
}
