package org.boragebarrow.decision.observe;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

import static com.google.common.base.Preconditions.checkNotNull;

/** The events of an {@link Observer}. */
public sealed interface ObserveEvent {
    /** The targets of the zone, replacing the previous list. */
    record TargetsListed(ImmutableList<Target> targets) implements ObserveEvent {
        public TargetsListed {
            checkNotNull(targets);
        }
    }

    /** The hosts of the zone or the ended incarnations changed. */
    record MembersChanged(MemberView view) implements ObserveEvent {
        public MembersChanged {
            checkNotNull(view);
        }
    }

    /**
     * A target answered a poll.
     *
     * @param accepting whether the target reports that it accepts new work
     */
    record PollAnswered(TargetId target, long pollNumber, boolean accepting) implements ObserveEvent {}

    /** A poll of a target failed. */
    record PollFailed(TargetId target, long pollNumber) implements ObserveEvent {}

    /** An engine listed the sequences, reservations and exports that hold memory. */
    record HoldingsListed(TargetId target, EngineControl.Holdings holdings) implements ObserveEvent {
        public HoldingsListed {
            checkNotNull(target);
            checkNotNull(holdings);
        }
    }

    /** Another host of the zone reported the statuses of the targets that it monitors. */
    record StatusesReceived(HostId observer, ImmutableMap<TargetId, TargetStatus> statuses) implements ObserveEvent {
        public StatusesReceived {
            checkNotNull(observer);
            checkNotNull(statuses);
        }
    }

    /** Time passed. */
    record Ticked() implements ObserveEvent {}
}
