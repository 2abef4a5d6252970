package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableAnswer;

import static com.google.common.base.Preconditions.checkNotNull;

/** What happens to a snapshot writer. */
public sealed interface SnapshotEvent {
    /** This host is, or no longer is, the one that writes snapshots. */
    record RoleChanged(boolean held) implements SnapshotEvent {}

    /** Another state is in force on this host. */
    record Configured(ChangeState state) implements SnapshotEvent {
        public Configured {
            checkNotNull(state);
        }
    }

    /** A table call ended; each call must end once. */
    record Answered(long call, TableAnswer answer) implements SnapshotEvent {}

    /** Time passed. */
    record Ticked() implements SnapshotEvent {}
}
