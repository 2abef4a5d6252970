package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableAnswer;

import static com.google.common.base.Preconditions.checkNotNull;

/** The events of a {@link SnapshotWriter}. */
public sealed interface SnapshotEvent {
    /** This host starts or stops being the one that writes snapshots. */
    record RoleChanged(boolean held) implements SnapshotEvent {}

    /** Another state is in effect on this host. */
    record Configured(ChangeState state) implements SnapshotEvent {
        public Configured {
            checkNotNull(state);
        }
    }

    /** A table call completed; each call must complete exactly once. */
    record Answered(long callId, TableAnswer answer) implements SnapshotEvent {}

    /** Time passed. */
    record Ticked() implements SnapshotEvent {}
}
