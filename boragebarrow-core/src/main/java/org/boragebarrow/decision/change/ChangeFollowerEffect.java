package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableCall;
import org.boragebarrow.model.HostId;

/** The effects of a {@link ChangeFollower}. */
public sealed interface ChangeFollowerEffect {
    /** Makes a table call. */
    record Call(long callId, TableCall table) implements ChangeFollowerEffect {}

    /** Requests the changes after a number from a peer. */
    record Fetch(HostId peer, long after) implements ChangeFollowerEffect {}

    /** Puts a later state in effect; the number of its configuration never decreases. */
    record Configured(ChangeState state) implements ChangeFollowerEffect {}

    /** Reports, once, that every change accepted before this incarnation of the host started is in effect. */
    record BecameReady() implements ChangeFollowerEffect {}
}
