package org.boragebarrow.decision.lease;

import org.boragebarrow.decision.table.TableAnswer;

/** The events of a {@link LeaseMachine}. */
public sealed interface LeaseEvent {
    /** This host starts competing for the lease, or stops and releases it. */
    record WantedChanged(boolean wanted) implements LeaseEvent {}

    /** A table call completed; each call must complete exactly once. */
    record Answered(long callId, TableAnswer answer) implements LeaseEvent {}

    /** Time passed. */
    record Ticked() implements LeaseEvent {}
}
