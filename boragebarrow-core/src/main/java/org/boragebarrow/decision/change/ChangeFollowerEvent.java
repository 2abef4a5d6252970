package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** What happens to a change follower. */
public sealed interface ChangeFollowerEvent {
    /**
     * A peer told which changes it has applied.
     *
     * @param ready whether the peer itself is ready, so that its number counts for a host that can't reach the table
     */
    record Learnt(HostId peer, long number, boolean ready) implements ChangeFollowerEvent {
        public Learnt {
            checkNotNull(peer);
            checkArgument(number >= 0, "change number must not be negative: %s", number);
        }
    }

    /** A peer is gone. */
    record PeerLost(HostId peer) implements ChangeFollowerEvent {}

    /** This host's own writer committed a change. */
    record Committed(Change change) implements ChangeFollowerEvent {}

    /** A peer handed over changes; also accepted when late or unasked. */
    record Received(HostId peer, ChangeBatch batch) implements ChangeFollowerEvent {}

    /** A peer did not hand over changes. */
    record FetchFailed(HostId peer) implements ChangeFollowerEvent {}

    /** A table call ended; each call must end once. */
    record Answered(long call, TableAnswer answer) implements ChangeFollowerEvent {}

    /** This host is, or no longer is, one of those that poll the head of the log. */
    record PollingChanged(boolean polling) implements ChangeFollowerEvent {}

    /** Time passed. */
    record Ticked() implements ChangeFollowerEvent {}
}
