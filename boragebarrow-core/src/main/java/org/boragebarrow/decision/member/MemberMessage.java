package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** A message between the memberships of two hosts. */
public sealed interface MemberMessage {
    /**
     * Shows that the sender is alive.
     *
     * @param applied the number of the last change that is in effect at the sender
     * @param answerWanted whether the receiver should reply with the full digest of its own zone
     */
    record Heartbeat(Member member, long applied, boolean answerWanted) implements MemberMessage {
        public Heartbeat {
            checkNotNull(member);
            checkArgument(applied >= 0, "change number must not be negative: %s", applied);
        }
    }

    /** Suspects an incarnation, and requests any proof that it is alive with more than this number of refutations. */
    record Suspect(HostIncarnation subject, int refutations) implements MemberMessage {
        public Suspect {
            checkNotNull(subject);
        }
    }

    /** Refutes a suspicion: the sender is the member or has received its messages directly. */
    record Alive(Member member) implements MemberMessage {
        public Alive {
            checkNotNull(member);
        }
    }

    /** Reports that an incarnation and all earlier ones of the host have ended; a leaving host sends its own. */
    record Ended(HostIncarnation subject) implements MemberMessage {
        public Ended {
            checkNotNull(subject);
        }
    }

    /**
     * The state of one zone, sent to another zone.
     *
     * @param origin the host that made the digest
     * @param sequence a number that increases with each digest of the same origin
     * @param lowestApplied the last change that is in effect on all live hosts of the zone
     * @param highestKnown the highest change number that the origin has received
     * @param memberCount the number of live hosts
     * @param members the live hosts; empty if they were sent recently and have not changed since
     * @param ended the incarnations of hosts of the zone that ended recently
     * @param relayed whether a host of the receiver's zone relayed it
     */
    record ZoneDigest(
            AvailabilityZoneId zone,
            HostIncarnation origin,
            long sequence,
            long lowestApplied,
            long highestKnown,
            int memberCount,
            ImmutableList<Member> members,
            ImmutableList<HostIncarnation> ended,
            Optional<Summary> summary,
            boolean relayed)
            implements MemberMessage {
        public ZoneDigest {
            checkNotNull(zone);
            checkNotNull(origin);
            checkNotNull(members);
            checkNotNull(ended);
            checkNotNull(summary);
        }

        ZoneDigest relay(boolean withSummary) {
            return new ZoneDigest(
                    zone,
                    origin,
                    sequence,
                    lowestApplied,
                    highestKnown,
                    memberCount,
                    members,
                    ended,
                    withSummary ? summary : Optional.empty(),
                    true);
        }
    }
}
