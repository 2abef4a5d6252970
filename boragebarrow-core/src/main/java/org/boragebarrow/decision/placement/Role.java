package org.boragebarrow.decision.placement;

import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.TargetId;

import static com.google.common.base.Preconditions.checkNotNull;

/** A role that one live host of a zone holds at a time, provided that its hosts have the same view of live hosts. */
public sealed interface Role {
    /** Returns the hash key of the role; distinct for distinct roles. */
    String key();

    /** Grants targets to the zone's requests. */
    record Dispatcher() implements Role {
        @Override
        public String key() {
            return "dispatcher";
        }
    }

    /** Plans the zone's models and engine roles. */
    record Planner() implements Role {
        @Override
        public String key() {
            return "planner";
        }
    }

    /** Writes the zone's claims in batches. */
    record ClaimWriter() implements Role {
        @Override
        public String key() {
            return "claim-writer";
        }
    }

    /** Exchanges digests with another zone. */
    record Bridge(AvailabilityZoneId zone) implements Role {
        public Bridge {
            checkNotNull(zone);
        }

        @Override
        public String key() {
            return "bridge/" + zone;
        }
    }

    /** Polls a target; held by {@link Roles#OBSERVERS_PER_TARGET} hosts. */
    record Observer(TargetId target) implements Role {
        public Observer {
            checkNotNull(target);
        }

        @Override
        public String key() {
            return "observer/" + target;
        }
    }
}
