package org.boragebarrow.decision.assign;

import java.util.List;
import java.util.Optional;

import org.boragebarrow.decision.routing.EngineProfile;

/**
 * Decides whether free places of a service are kept for more urgent work than that which asks for them.
 *
 * <p>Load pattern: less urgent work fills the targets a moment before the demand of the more urgent work jumps.
 */
final class UrgentRoom {
    private final ServiceRooms rooms;

    UrgentRoom(ServiceRooms rooms) {
        this.rooms = rooms;
    }

    /** Returns whether the candidates' free places without those that the work takes are needed for more urgent work. */
    boolean isNeeded(Work work, Optional<EngineProfile> profile, List<TargetLoad> candidates, long now) {
        ServiceRoom room = rooms.of(work.service());
        if (!room.hasMoreUrgentDemand(work.terms().rank(), now)) {
            return false;
        }
        int total = 0;
        int free = 0;
        for (TargetLoad load : candidates) {
            total += load.target().slots();
            free += freePlaces(load, profile);
        }
        return free - 1 < room.reservedPlaces(work.terms().rank(), total, now);
    }

    /** Returns the free slots of a target; none of an engine without memory for an ordinary answer. */
    private static int freePlaces(TargetLoad load, Optional<EngineProfile> profile) {
        boolean full = profile.map(engine -> !load.hasMemoryForAnswer(engine)).orElse(false);
        return full ? 0 : Math.max(0, load.target().slots() - load.ownedCount());
    }
}
