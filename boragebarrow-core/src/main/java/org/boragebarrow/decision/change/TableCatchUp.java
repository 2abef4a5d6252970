package org.boragebarrow.decision.change;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.port.TableService.Row;

/**
 * Reads missing changes from the table: block by block, or from the latest snapshot if the gap is large or the next
 * change is not found.
 */
final class TableCatchUp {
    private static final long SNAPSHOT_GAP = 10L * ChangeRows.BLOCK_SIZE;

    private final ChangeCodec codec;
    private final AppliedChanges applied;
    private boolean snapshotNeeded;

    TableCatchUp(ChangeCodec codec, AppliedChanges applied) {
        this.codec = codec;
        this.applied = applied;
    }

    /** Returns the first call of a new round of reads. */
    TableCall firstCall(long highestKnown) {
        if (snapshotNeeded || highestKnown - applied.number() > SNAPSHOT_GAP) {
            return new TableCall.Get(ChangeRows.SNAPSHOT_POINTER);
        }
        return scanBlock();
    }

    /** Handles an answer and returns the next call of this round of reads, or empty if the round has ended. */
    Optional<TableCall> nextCall(TableCall call, TableAnswer answer) {
        if (answer instanceof TableAnswer.RowRead found) {
            return Optional.of(scanParts(found.row()));
        }
        if (answer instanceof TableAnswer.Scanned scanned && call instanceof TableCall.Scan scan) {
            if (scan.prefix().startsWith(ChangeRows.SNAPSHOT_PART_PREFIX)) {
                adopt(scan, scanned.rows());
                return Optional.of(scanBlock());
            }
            apply(scanned.rows());
        }
        return Optional.empty();
    }

    private TableCall scanBlock() {
        return new TableCall.Scan(ChangeRows.blockPrefix(applied.number() + 1), ChangeRows.BLOCK_SIZE);
    }

    private TableCall scanParts(Optional<Row> pointer) {
        if (pointer.isEmpty()) {
            return scanBlock();
        }
        SnapshotPointer snapshot = SnapshotPointer.parse(pointer.get().value());
        if (snapshot.number() <= applied.number()) {
            return scanBlock();
        }
        return new TableCall.Scan(ChangeRows.snapshotPartsPrefix(snapshot.number()), snapshot.parts());
    }

    private void adopt(TableCall.Scan scan, ImmutableList<Row> rows) {
        if (rows.size() < scan.limit()) {
            // The read was stale or the snapshot has been replaced; the next round reads the pointer again.
            return;
        }
        StringBuilder text = new StringBuilder();
        rows.forEach(row -> text.append(row.value()));
        applied.adopt(codec.decodeState(text.toString()));
        snapshotNeeded = false;
    }

    private void apply(ImmutableList<Row> rows) {
        List<Change> changes = new ArrayList<>();
        for (Row row : rows) {
            changes.add(codec.decode(row.value()));
        }
        long before = applied.number();
        applied.apply(changes);
        // Without progress, either the read was stale or the log was trimmed: read the snapshot next.
        snapshotNeeded = applied.number() == before;
    }
}
