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
import org.boragebarrow.model.Ran;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Row;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Appends changes to the log, one at a time in the order of their submission.
 *
 * <p>Any number of writers may run at once. Every append is conditional on the exact version of the head row, so of all
 * appends that were ever sent for one head, also late ones, at most one takes effect. After a lost answer the writer
 * reads the change id back and sends the append again until one of the two proves the outcome.
 */
public final class ChangeWriter implements Machine<ChangeWriterEvent, ChangeWriterEffect> {
    /** The most requests that wait. */
    public static final int MAX_QUEUED = 256;

    /** How long a request tries before its outcome is reported as unknown. */
    public static final Duration REQUEST_LIMIT = Duration.ofSeconds(10);

    private static final long RETRY_DELAY_NANOS = Duration.ofMillis(100).toNanos();

    private static final int MAX_IMMEDIATE_RETRIES = 3;

    private final ChangeCodec codec;
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private Optional<Append> append = Optional.empty();
    private long lastCall;

    public ChangeWriter(ChangeCodec codec) {
        this.codec = checkNotNull(codec);
    }

    @Override
    public ImmutableList<ChangeWriterEffect> apply(ChangeWriterEvent event, long nowNanos) {
        ImmutableList.Builder<ChangeWriterEffect> effects = ImmutableList.builder();
        switch (event) {
            case Submitted submitted -> submit(submitted, nowNanos, effects);
            case Answered answered -> answer(answered, nowNanos, effects);
            case Ticked ticked -> tick(nowNanos, effects);
        }
        startNext(effects);
        return effects.build();
    }

    private void submit(Submitted submitted, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        if (queue.size() == MAX_QUEUED) {
            effects.add(rejected(submitted, ErrorKind.OVERLOADED, Ran.UNKNOWN, "too many changes wait"));
            return;
        }
        queue.add(new Waiting(submitted, nowNanos + REQUEST_LIMIT.toNanos()));
    }

    private void answer(Answered answered, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        if (append.isEmpty() || answered.call() != append.get().call) {
            return;
        }
        Append now = append.get();
        now.call = Append.NO_CALL;
        switch (answered.answer()) {
            case TableAnswer.Found found -> read(now, found.row(), effects);
            case TableAnswer.Finished finished -> finish(now, finished.result(), nowNanos, effects);
            case TableAnswer.ReadFailed failed -> retryLater(now, nowNanos, effects);
            case TableAnswer.Scanned scanned -> throw new IllegalStateException("no scan was asked for: " + scanned);
        }
    }

    private void tick(long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        while (!queue.isEmpty() && nowNanos - queue.peek().deadlineNanos >= 0) {
            effects.add(unavailable(queue.remove().submitted));
        }
        if (append.isEmpty()) {
            return;
        }
        Append now = append.get();
        if (nowNanos - now.deadlineNanos >= 0) {
            finish(unavailable(now.submitted), effects);
        } else if (now.call == Append.NO_CALL && nowNanos - now.retryNanos >= 0) {
            restart(now, effects);
        }
    }

    private void startNext(ImmutableList.Builder<ChangeWriterEffect> effects) {
        if (append.isPresent() || queue.isEmpty()) {
            return;
        }
        Waiting next = queue.remove();
        append = Optional.of(new Append(next.submitted, next.deadlineNanos));
        restart(append.get(), effects);
    }

    private void restart(Append now, ImmutableList.Builder<ChangeWriterEffect> effects) {
        now.step = Step.READ_CHANGE_ID;
        call(now, new TableCall.Get(ChangeRows.changeId(now.submitted.changeId())), effects);
    }

    private void read(Append now, Optional<Row> row, ImmutableList.Builder<ChangeWriterEffect> effects) {
        switch (now.step) {
            case READ_CHANGE_ID -> {
                if (row.isPresent()) {
                    finish(repeated(now, codec.decode(row.get().value())), effects);
                    return;
                }
                now.step = Step.READ_HEAD;
                call(now, new TableCall.Get(ChangeRows.HEAD), effects);
            }
            case READ_HEAD -> {
                now.head = row;
                now.step = Step.READ_ENTRY;
                call(
                        now,
                        new TableCall.Get(ChangeRows.entry(now.submitted.entry().key())),
                        effects);
            }
            case READ_ENTRY -> {
                now.entry = row;
                now.step = now.isEntryExpected(codec) ? Step.COMMIT : Step.PROVE_CONFLICT;
                call(now, now.step == Step.COMMIT ? now.commit(codec) : now.proof(), effects);
            }
            default -> throw new IllegalStateException("a read was answered in " + now.step);
        }
    }

    private void finish(
            Append now, CommitResult result, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        switch (result) {
            case TableService.Committed committed -> finish(proven(now), effects);
            case TableService.Conflict conflict -> conflict(now, nowNanos, effects);
            case TableService.Unavailable unavailable -> retryLater(now, nowNanos, effects);
            case TableService.Unknown unknown -> retryLater(now, nowNanos, effects);
        }
    }

    private void conflict(Append now, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        now.conflicts++;
        if (now.conflicts > MAX_IMMEDIATE_RETRIES) {
            // Reads are stale rather than other writers fast.
            retryLater(now, nowNanos, effects);
        } else {
            restart(now, effects);
        }
    }

    private ChangeWriterEffect proven(Append now) {
        if (now.step == Step.COMMIT) {
            return new Accepted(now.submitted.request(), now.change());
        }
        Optional<Change> present = now.entry.map(row -> codec.decode(row.value()));
        String message = "the entry's version is " + now.entryVersion(codec);
        return new Rejected(now.submitted.request(), ErrorKind.VERSION_CONFLICT, Ran.NO, message, present);
    }

    private static ChangeWriterEffect repeated(Append now, Change earlier) {
        if (earlier.entry().equals(now.submitted.entry())) {
            return new Accepted(now.submitted.request(), earlier);
        }
        String message = "the change id belongs to change " + earlier.number() + ", which is another one";
        return rejected(now.submitted, ErrorKind.KEY_REUSED, Ran.UNKNOWN, message);
    }

    private void retryLater(Append now, long nowNanos, ImmutableList.Builder<ChangeWriterEffect> effects) {
        now.retryNanos = nowNanos + RETRY_DELAY_NANOS;
        if (now.retryNanos - now.deadlineNanos >= 0) {
            finish(unavailable(now.submitted), effects);
        }
    }

    private void call(Append now, TableCall table, ImmutableList.Builder<ChangeWriterEffect> effects) {
        lastCall++;
        now.call = lastCall;
        effects.add(new Call(lastCall, table));
    }

    private void finish(ChangeWriterEffect outcome, ImmutableList.Builder<ChangeWriterEffect> effects) {
        append = Optional.empty();
        effects.add(outcome);
    }

    private static Rejected unavailable(Submitted submitted) {
        String message = "the table service did not answer in time; repeat with the same change id";
        return rejected(submitted, ErrorKind.STORE_UNAVAILABLE, Ran.UNKNOWN, message);
    }

    private static Rejected rejected(Submitted submitted, ErrorKind kind, Ran ran, String message) {
        return new Rejected(submitted.request(), kind, ran, message, Optional.empty());
    }

    private record Waiting(Submitted submitted, long deadlineNanos) {}

    /** Where an append stands; any doubt leads back to the first step. */
    enum Step {
        /** Looks whether an earlier attempt with the change id has committed. */
        READ_CHANGE_ID,
        /** Reads the number of the last change. */
        READ_HEAD,
        /** Reads the entry's last change. */
        READ_ENTRY,
        /** Appends. */
        COMMIT,
        /** Proves that the entry has another version than expected and that no earlier attempt has committed. */
        PROVE_CONFLICT
    }
}
