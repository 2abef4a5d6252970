package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableCall;

/** The effects of a {@link SnapshotWriter}. */
public sealed interface SnapshotEffect {
    /** Makes a table call. */
    record Call(long callId, TableCall table) implements SnapshotEffect {}
}
