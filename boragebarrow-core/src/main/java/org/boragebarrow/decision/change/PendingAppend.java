package org.boragebarrow.decision.change;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

/** The append that a {@link ChangeWriter} is executing. */
final class PendingAppend {
    static final long NO_CALL = 0;

    final ChangeWriterEvent.Submitted submitted;
    final long deadlineNanos;
    ChangeWriter.Step step = ChangeWriter.Step.READ_CHANGE_ID;
    long callId = NO_CALL;
    long retryNanos;
    int conflicts;
    Optional<Row> head = Optional.empty();
    Optional<Row> entry = Optional.empty();

    PendingAppend(ChangeWriterEvent.Submitted submitted, long deadlineNanos) {
        this.submitted = submitted;
        this.deadlineNanos = deadlineNanos;
    }

    long entryVersion(ChangeCodec codec) {
        return entry.map(row -> codec.decode(row.value()).number()).orElse(0L);
    }

    boolean hasExpectedVersion(ChangeCodec codec) {
        return submitted.expectedVersion().isEmpty()
                || submitted.expectedVersion().getAsLong() == entryVersion(codec);
    }

    Change change() {
        long last = head.map(row -> Long.parseLong(row.value())).orElse(0L);
        return new Change(last + 1, submitted.changeId(), submitted.entry());
    }

    TableCall commit(ChangeCodec codec) {
        Change change = change();
        String text = codec.encode(change);
        String changeRow = ChangeRows.change(change.number());
        String entryRow = ChangeRows.entry(change.entry().key());
        return new TableCall.Commit(
                ImmutableList.<Condition>builder()
                        .addAll(conditions())
                        .add(Condition.absent(changeRow))
                        .build(),
                ImmutableList.of(
                        Write.put(ChangeRows.HEAD, Long.toString(change.number())),
                        Write.put(changeRow, text),
                        Write.put(ChangeRows.changeId(change.changeId()), text),
                        change.entry().isDeletion() ? Write.delete(entryRow) : Write.put(entryRow, text)));
    }

    TableCall verification() {
        return new TableCall.Commit(conditions(), ImmutableList.of());
    }

    private ImmutableList<Condition> conditions() {
        return ImmutableList.of(
                unchanged(ChangeRows.HEAD, head),
                unchanged(ChangeRows.entry(submitted.entry().key()), entry),
                Condition.absent(ChangeRows.changeId(submitted.changeId())));
    }

    private static Condition unchanged(String key, Optional<Row> row) {
        return new Condition(key, row.map(Row::version).orElse(0L));
    }
}
