package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.HostLife;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** What the membership of one host sends to that of another. */
public sealed interface MemberMessage {
    /**
     * Shows that the sender is alive.
     *
     * @param applied the number of the last change that is in force at the sender
     * @param answerWanted whether the receiver should answer with the digest of its own zone
     */
    record Heartbeat(Member member, long applied, boolean answerWanted) implements MemberMessage {
        public Heartbeat {
            checkNotNull(member);
            checkArgument(applied >= 0, "change number must not be negative: %s", applied);
        }
    }

    /** Asks whether anybody has proof that the life is alive that is newer than this number of refutations. */
    record Suspect(HostLife subject, int refutations) implements MemberMessage {
        public Suspect {
            checkNotNull(subject);
        }
    }

    /** Refutes a suspicion: the sender is the member or has heard from it directly. */
    record Alive(Member member) implements MemberMessage {
        public Alive {
            checkNotNull(member);
        }
    }

    /** Tells that the life and all earlier ones of the host are over; a host sends it of itself when it leaves. */
    record Ended(HostLife subject) implements MemberMessage {
        public Ended {
            checkNotNull(subject);
        }
    }

    /**
     * What one zone tells another of itself.
     *
     * @param origin the host that made the digest
     * @param sequence grows with each digest of the same origin
     * @param lowestApplied the last change that is in force on all live hosts of the zone
     * @param highestKnown the highest change number that the origin knows of
     * @param memberCount the number of live hosts
     * @param members the live hosts; empty if they have not changed lately
     * @param ended lives that the zone has ended lately
     * @param relayed whether a host of the receiver's zone passed it on
     */
    record ZoneDigest(
            AvailabilityZoneId zone,
            HostLife origin,
            long sequence,
            long lowestApplied,
            long highestKnown,
            int memberCount,
            ImmutableList<Member> members,
            ImmutableList<HostLife> ended,
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
