package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableCall;

/** What a snapshot writer wants done. */
public sealed interface SnapshotEffect {
    /** Makes a table call. */
    record Call(long call, TableCall table) implements SnapshotEffect {}
}
