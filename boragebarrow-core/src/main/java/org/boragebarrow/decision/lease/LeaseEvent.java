package org.boragebarrow.decision.lease;

import org.boragebarrow.decision.table.TableAnswer;

/** What happens to a lease. */
public sealed interface LeaseEvent {
    /** This host wants to hold the lease, or gives it up. */
    record WantedChanged(boolean wanted) implements LeaseEvent {}

    /** A table call ended; each call must end once. */
    record Answered(long call, TableAnswer answer) implements LeaseEvent {}

    /** Time passed. */
    record Ticked() implements LeaseEvent {}
}
