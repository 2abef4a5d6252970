package org.boragebarrow.decision.table;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.port.TableService.CommitResult;
import org.boragebarrow.port.TableService.Row;

/** The result of a {@link TableCall}. */
public sealed interface TableAnswer {
    /** The result of a {@link TableCall.Get}, empty if there is no row; may be older than the latest commit. */
    record RowRead(Optional<Row> row) implements TableAnswer {}

    /** The rows of a {@link TableCall.Scan}; may be older than the latest commit. */
    record Scanned(ImmutableList<Row> rows) implements TableAnswer {}

    /** The result of a {@link TableCall.Commit}. */
    record CommitFinished(CommitResult result) implements TableAnswer {}

    /** A read failed. */
    record ReadFailed() implements TableAnswer {}
}
