package org.boragebarrow.decision.member;

import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.Endpoint;
import org.boragebarrow.model.HostLife;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/** What happens to a membership. */
public sealed interface MemberEvent {
    /** Another host sent a message. */
    record MessageReceived(HostLife from, MemberMessage message) implements MemberEvent {
        public MessageReceived {
            checkNotNull(from);
            checkNotNull(message);
        }
    }

    /** A connection to the endpoint was established. */
    record LinkUp(Endpoint endpoint) implements MemberEvent {}

    /** The connection to the endpoint broke; only a hint, as the host may be alive. */
    record LinkDown(Endpoint endpoint) implements MemberEvent {}

    /** A source named addresses, replacing what it named before; the addresses may be stale. */
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

    /** A change is in force at this host. */
    record AppliedChange(long number) implements MemberEvent {
        public AppliedChange {
            checkArgument(number >= 0, "change number must not be negative: %s", number);
        }
    }

    /** This host was told to stop: it takes no roles any more but finishes what it has. */
    record Draining() implements MemberEvent {}

    /** This host is about to exit; nothing that happens later has an effect. */
    record Leaving() implements MemberEvent {}

    /** Time passed; expected at least once in each heartbeat period. */
    record Ticked() implements MemberEvent {}

    /** Where seeds come from. */
    enum SeedSource {
        /** The process's own settings. */
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
