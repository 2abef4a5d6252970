package org.boragebarrow.decision.table;

import java.util.Optional;
import java.util.function.Consumer;

import org.boragebarrow.testing.FakeTable;

/** Makes table calls for machines under test; if a machine throws, the step that delivered its event fails. */
public final class TableDriver {
    private final FakeTable table;
    private Optional<Throwable> failure = Optional.empty();

    /** Creates a driver for the table. */
    public TableDriver(FakeTable table) {
        this.table = table;
    }

    /** Makes a call and passes its answer to the receiver in a later step. */
    public void call(TableCall call, Consumer<TableAnswer> receiver) {
        TableCalls.make(call, table).thenAccept(receiver).whenComplete((done, e) -> {
            if (e != null && failure.isEmpty()) {
                failure = Optional.of(e);
            }
        });
    }

    /** Runs one of the pending steps, if there are any. */
    public void runStep(int index) {
        if (table.queuedSteps() > 0) {
            table.runStep(index % table.queuedSteps());
        }
        check();
    }

    /** Runs all pending steps. */
    public void runAllSteps() {
        table.runAllSteps();
        check();
    }

    private void check() {
        if (failure.isPresent()) {
            throw new AssertionError(failure.get());
        }
    }
}
