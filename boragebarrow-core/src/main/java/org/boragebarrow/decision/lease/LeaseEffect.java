package org.boragebarrow.decision.lease;

import org.boragebarrow.decision.table.TableCall;

/** The effects of a {@link LeaseMachine}. */
public sealed interface LeaseEffect {
    /** Makes a table call. */
    record Call(long callId, TableCall table) implements LeaseEffect {}

    /**
     * Reports that the host holds the lease; repeated with a later expiry at each renewal.
     *
     * @param epoch the fencing number, which is higher than that of every earlier holder
     * @param expiryNanos the time on the host's own monotonic clock by which it must have stopped acting as the holder
     */
    record Held(long epoch, long expiryNanos) implements LeaseEffect {}

    /** Reports that the host no longer holds the lease. */
    record Lost(long epoch) implements LeaseEffect {}
}
