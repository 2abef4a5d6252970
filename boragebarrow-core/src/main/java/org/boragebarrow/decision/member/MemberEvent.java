package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostIncarnation;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** The events of a {@link Membership}. */
public sealed interface MemberEvent {
    /** A message of another host was received. */
    record MessageReceived(HostIncarnation from, MemberMessage message) implements MemberEvent {
        public MessageReceived {
            checkNotNull(from);
            checkNotNull(message);
        }
    }

    /** A connection to the endpoint was established. */
    record LinkUp(Endpoint endpoint) implements MemberEvent {}

    /** The connection to the endpoint failed; only a hint, as the host may be alive. */
    record LinkDown(Endpoint endpoint) implements MemberEvent {}

    /** A source listed its seeds, which replace those that it listed before; the addresses may be stale. */
    record SeedsListed(SeedSource source, ImmutableList<Seed> seeds) implements MemberEvent {
        public SeedsListed {
            checkNotNull(source);
            checkNotNull(seeds);
        }
    }

    /** This host made a new summary of its zone. */
    record SummaryChanged(Payload payload) implements MemberEvent {
        public SummaryChanged {
            checkNotNull(payload);
        }
    }

    /** A change is in effect at this host. */
    record AppliedChange(long number) implements MemberEvent {
        public AppliedChange {
            checkArgument(number >= 0, "change number must not be negative: %s", number);
        }
    }

    /** This host drains: it holds no roles any more but finishes its work in progress. */
    record Draining() implements MemberEvent {}

    /** This host is about to exit; later events have no effect. */
    record Leaving() implements MemberEvent {}

    /** Time passed; expected at least once in each heartbeat interval. */
    record Ticked() implements MemberEvent {}

    /** The source of a list of seeds. */
    enum SeedSource {
        /** The settings of this process. */
        SETTINGS,
        /** The platform's host list. */
        HOST_LIST
    }

    /** An address where a host may answer. */
    record Seed(Endpoint endpoint, Optional<AvailabilityZoneId> zone) {
        public Seed {
            checkNotNull(endpoint);
            checkNotNull(zone);
        }
    }
}
