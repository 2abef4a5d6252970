package org.boragebarrow.decision.observe;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import org.boragebarrow.decision.member.MemberView;
import org.boragebarrow.model.HostId;
import org.boragebarrow.model.Target;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.port.EngineControl;

import static com.google.common.base.Preconditions.checkNotNull;

/** What happens to an observer. */
public sealed interface ObserveEvent {
    /** The zone's targets, replacing the earlier list. */
    record TargetsListed(ImmutableList<Target> targets) implements ObserveEvent {
        public TargetsListed {
            checkNotNull(targets);
        }
    }

    /** The hosts of the zone, or the ended lives, changed. */
    record MembersChanged(MemberView view) implements ObserveEvent {
        public MembersChanged {
            checkNotNull(view);
        }
    }

    /** A target answered a poll. */
    record PollAnswered(TargetId target, long poll, boolean accepting) implements ObserveEvent {}

    /** A target failed to answer a poll. */
    record PollFailed(TargetId target, long poll) implements ObserveEvent {}

    /** An engine listed what holds its memory. */
    record HoldingsListed(TargetId target, EngineControl.Holdings holdings) implements ObserveEvent {
        public HoldingsListed {
            checkNotNull(target);
            checkNotNull(holdings);
        }
    }

    /** Another host of the zone told what it found out. */
    record VerdictsReceived(HostId observer, ImmutableMap<TargetId, Verdict> verdicts) implements ObserveEvent {
        public VerdictsReceived {
            checkNotNull(observer);
            checkNotNull(verdicts);
        }
    }

    /** Time passed. */
    record Ticked() implements ObserveEvent {}
}
