package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.HostId;

/** What a change follower wants done. */
public sealed interface ChangeFollowerEffect {
    /** Makes a table call. */
    record Call(long call, TableCall table) implements ChangeFollowerEffect {}

    /** Asks a peer for the changes after a number. */
    record Fetch(HostId peer, long after) implements ChangeFollowerEffect {}

    /** Puts a later state in force; its configuration's number is never lower than that of an earlier one. */
    record Configured(ChangeState state) implements ChangeFollowerEffect {}

    /** Tells once that every change that was accepted before this life of the host is in force. */
    record BecameReady() implements ChangeFollowerEffect {}
}
