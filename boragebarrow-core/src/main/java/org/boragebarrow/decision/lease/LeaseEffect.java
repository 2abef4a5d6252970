package org.boragebarrow.decision.lease;

import org.boragebarrow.decision.table.TableCall;

/** What a lease wants done. */
public sealed interface LeaseEffect {
    /** Makes a table call. */
    record Call(long call, TableCall table) implements LeaseEffect {}

    /**
     * Tells that the host holds the lease; repeated with a later end at each renewal.
     *
     * @param epoch the fencing number; higher than that of every earlier holder
     * @param untilNanos when the host must have stopped acting, on its own monotonic clock
     */
    record Held(long epoch, long untilNanos) implements LeaseEffect {}

    /** Tells that the host no longer holds the lease. */
    record Lost(long epoch) implements LeaseEffect {}
}
