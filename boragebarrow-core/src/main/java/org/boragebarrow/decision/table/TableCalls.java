package org.boragebarrow.decision.table;

import java.util.concurrent.CompletableFuture;

import org.boragebarrow.port.TableService;

/** Static methods that make table calls. */
public final class TableCalls {
    private TableCalls() {}

    /** Makes the call. The future always completes normally; a failure is part of the answer. */
    public static CompletableFuture<TableAnswer> make(TableCall call, TableService table) {
        return switch (call) {
            case TableCall.Get get ->
                table.get(get.key())
                        .<TableAnswer>thenApply(TableAnswer.RowRead::new)
                        .exceptionally(e -> failed());
            case TableCall.Scan scan ->
                table.scan(scan.prefix(), scan.limit())
                        .<TableAnswer>thenApply(TableAnswer.Scanned::new)
                        .exceptionally(e -> failed());
            case TableCall.Commit commit ->
                table.commit(commit.conditions(), commit.writes())
                        .<TableAnswer>thenApply(TableAnswer.CommitFinished::new)
                        .exceptionally(e -> new TableAnswer.CommitFinished(new TableService.Unknown()));
        };
    }

    private static TableAnswer failed() {
        return new TableAnswer.ReadFailed();
    }
}
