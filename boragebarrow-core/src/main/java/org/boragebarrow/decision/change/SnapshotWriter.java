package org.boragebarrow.decision.change;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.Machine;
import org.boragebarrow.decision.change.SnapshotEffect.Call;
import org.boragebarrow.decision.change.SnapshotEvent.Answered;
import org.boragebarrow.decision.change.SnapshotEvent.Configured;
import org.boragebarrow.decision.change.SnapshotEvent.RoleChanged;
import org.boragebarrow.decision.change.SnapshotEvent.Ticked;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService;
import org.boragebarrow.port.TableService.Condition;
import org.boragebarrow.port.TableService.Row;
import org.boragebarrow.port.TableService.Write;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Writes a snapshot of the state at a fixed interval of changes, and trims older snapshots and changes.
 *
 * <p>Any number of writers may run concurrently: all writers produce the same parts for a snapshot, the pointer only
 * moves forward, and only rows that can no longer be reached from a pointer are deleted. A round that fails at any step
 * is abandoned, and the next round starts from the beginning.
 */
public final class SnapshotWriter implements Machine<SnapshotEvent, SnapshotEffect> {
    /** The number of changes between two snapshots. */
    public static final int SNAPSHOT_INTERVAL = 500;

    /** The number of changes, with their change ids, that are retained individually below the latest snapshot. */
    public static final int RETAINED_CHANGES = 10_000;

    private static final int PART_CHARS = 64 * 1024;
    private static final long RETRY_NANOS = Duration.ofSeconds(10).toNanos();

    private final ChangeCodec codec;
    private final int interval;
    private final int retained;
    private final int partChars;
    private boolean roleHeld;
    private ChangeState state = ChangeState.empty();
    private long lastSnapshot;
    private long retryNanos;
    private boolean delayed;
    private long lastCallId;
    private Optional<Round> round = Optional.empty();

    public SnapshotWriter(ChangeCodec codec) {
        this(codec, SNAPSHOT_INTERVAL, RETAINED_CHANGES, PART_CHARS);
    }

    SnapshotWriter(ChangeCodec codec, int interval, int retained, int partChars) {
        checkArgument(
                interval > 0 && retained >= 0 && partChars > 0,
                "invalid limits: interval %s, retained changes %s, characters per part %s",
                interval,
                retained,
                partChars);
        this.codec = codec;
        this.interval = interval;
        this.retained = retained;
        this.partChars = partChars;
    }

    @Override
    public ImmutableList<SnapshotEffect> apply(SnapshotEvent event, long nowNanos) {
        Optional<TableCall> next = Optional.empty();
        switch (event) {
            case RoleChanged changed -> roleHeld = changed.held();
            case Configured configured -> state = configured.state();
            case Answered answered -> next = handleAnswer(answered, nowNanos);
            case Ticked ticked -> delayed &= nowNanos - retryNanos < 0;
        }
        if (round.isEmpty() && roleHeld && !delayed && state.number() >= lastSnapshot + interval) {
            round = Optional.of(new Round(state));
            next = Optional.of(new TableCall.Get(ChangeRows.SNAPSHOT_POINTER));
        }
        return next.map(this::call).map(ImmutableList::of).orElse(ImmutableList.of());
    }

    private SnapshotEffect call(TableCall table) {
        lastCallId++;
        return new Call(lastCallId, table);
    }

    private Optional<TableCall> handleAnswer(Answered answered, long nowNanos) {
        if (round.isEmpty() || answered.callId() != lastCallId) {
            return Optional.empty();
        }
        Optional<TableCall> next = round.get().next(answered.answer());
        if (next.isEmpty()) {
            lastSnapshot = Math.max(lastSnapshot, round.get().latestSnapshot);
            delayed = round.get().step != Step.DONE;
            retryNanos = nowNanos + RETRY_NANOS;
            round = Optional.empty();
        }
        return next;
    }

    /** The steps of a round. */
    private enum Step {
        /** Reads the pointer to the latest snapshot. */
        READ_POINTER,
        /** Writes the parts, one transaction each. */
        WRITE_PARTS,
        /** Updates the pointer to the new snapshot. */
        UPDATE_POINTER,
        /** Scans for parts of older snapshots. */
        FIND_PARTS,
        /** Deletes parts of older snapshots. */
        DELETE_PARTS,
        /** Scans for changes that need no longer be retained because the snapshot includes them. */
        FIND_CHANGES,
        /** Deletes these changes. */
        DELETE_CHANGES,
        /** The round is complete. */
        DONE
    }

    /** One attempt to write a snapshot and to trim what it replaces. */
    private final class Round {
        private final long number;
        private final List<String> parts;
        private Step step = Step.READ_POINTER;
        private long pointerVersion;
        private int partsWritten;
        private long latestSnapshot;

        Round(ChangeState state) {
            this.number = state.number();
            this.parts = Splitter.fixedLength(partChars).splitToList(codec.encodeState(state));
        }

        /** Handles the answer to the previous call and returns the next call, or empty if the round has ended. */
        Optional<TableCall> next(TableAnswer answer) {
            return switch (answer) {
                case TableAnswer.RowRead found -> handlePointer(found.row());
                case TableAnswer.Scanned scanned -> handleScan(scanned.rows());
                case TableAnswer.CommitFinished finished ->
                    finished.result() instanceof TableService.Committed ? handleCommit() : Optional.empty();
                case TableAnswer.ReadFailed failed -> Optional.empty();
            };
        }

        private Optional<TableCall> handlePointer(Optional<Row> row) {
            pointerVersion = row.map(Row::version).orElse(0L);
            long latest = row.map(
                            pointer -> SnapshotPointer.parse(pointer.value()).number())
                    .orElse(0L);
            if (number < latest + interval) {
                latestSnapshot = latest;
                step = Step.DONE;
                return Optional.empty();
            }
            step = Step.WRITE_PARTS;
            return Optional.of(writePart());
        }

        private Optional<TableCall> handleCommit() {
            switch (step) {
                case WRITE_PARTS -> {
                    partsWritten++;
                    if (partsWritten < parts.size()) {
                        return Optional.of(writePart());
                    }
                    step = Step.UPDATE_POINTER;
                    String pointer = new SnapshotPointer(number, parts.size()).toString();
                    return Optional.of(new TableCall.Commit(
                            ImmutableList.of(new Condition(ChangeRows.SNAPSHOT_POINTER, pointerVersion)),
                            ImmutableList.of(Write.put(ChangeRows.SNAPSHOT_POINTER, pointer))));
                }
                case UPDATE_POINTER -> {
                    latestSnapshot = number;
                    return Optional.of(findParts());
                }
                case DELETE_PARTS -> {
                    return Optional.of(findParts());
                }
                default -> {
                    return Optional.of(findChanges());
                }
            }
        }

        private TableCall writePart() {
            String key = ChangeRows.snapshotPart(number, partsWritten);
            return new TableCall.Commit(ImmutableList.of(), ImmutableList.of(Write.put(key, parts.get(partsWritten))));
        }

        private TableCall findParts() {
            step = Step.FIND_PARTS;
            return new TableCall.Scan(ChangeRows.SNAPSHOT_PART_PREFIX, ChangeRows.BLOCK_SIZE);
        }

        private TableCall findChanges() {
            step = Step.FIND_CHANGES;
            return new TableCall.Scan(ChangeRows.CHANGE_PREFIX, ChangeRows.BLOCK_SIZE);
        }

        private Optional<TableCall> handleScan(ImmutableList<Row> rows) {
            ImmutableList.Builder<Write> deletions = ImmutableList.builder();
            if (step == Step.FIND_PARTS) {
                String ownParts = ChangeRows.snapshotPartsPrefix(number);
                rows.stream()
                        .filter(row -> row.key().compareTo(ownParts) < 0)
                        .forEach(row -> deletions.add(Write.delete(row.key())));
                step = Step.DELETE_PARTS;
            } else {
                rows.stream()
                        .map(row -> codec.decode(row.value()))
                        .filter(change -> change.number() <= number - retained)
                        .forEach(change -> deletions.add(
                                Write.delete(ChangeRows.change(change.number())),
                                Write.delete(ChangeRows.changeId(change.changeId()))));
                step = Step.DELETE_CHANGES;
            }
            ImmutableList<Write> writes = deletions.build();
            if (!writes.isEmpty()) {
                return Optional.of(new TableCall.Commit(ImmutableList.of(), writes));
            }
            if (step == Step.DELETE_PARTS) {
                return Optional.of(findChanges());
            }
            step = Step.DONE;
            return Optional.empty();
        }
    }
}
