package org.boragebarrow.decision.change;

import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.HostId;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The events of a {@link ChangeFollower}. */
public sealed interface ChangeFollowerEvent {
    /**
     * A peer reported which changes it has applied.
     *
     * @param number the number of the last change that the peer has applied
     * @param ready whether the peer itself is ready, so that a host that can't reach the table may rely on its number
     */
    record PeerReported(HostId peer, long number, boolean ready) implements ChangeFollowerEvent {
        public PeerReported {
            checkNotNull(peer);
            checkArgument(number >= 0, "change number must not be negative: %s", number);
        }
    }

    /** A peer is no longer a member. */
    record PeerLost(HostId peer) implements ChangeFollowerEvent {}

    /** This host's own writer committed a change. */
    record Committed(Change change) implements ChangeFollowerEvent {}

    /** A peer sent changes; also accepted when late or unrequested. */
    record Received(HostId peer, ChangeBatch batch) implements ChangeFollowerEvent {}

    /** A fetch of changes from a peer failed. */
    record FetchFailed(HostId peer) implements ChangeFollowerEvent {}

    /** A table call completed; each call must complete exactly once. */
    record Answered(long callId, TableAnswer answer) implements ChangeFollowerEvent {}

    /** This host starts or stops being one of those that poll the head of the log. */
    record PollingChanged(boolean polling) implements ChangeFollowerEvent {}

    /** Time passed. */
    record Ticked() implements ChangeFollowerEvent {}
}
