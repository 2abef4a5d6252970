package org.boragebarrow.decision.assign;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.routing.EngineProfile;
import org.boragebarrow.model.TargetId;
import org.boragebarrow.model.UrgencyRank;

/**
 * Decides whether free places of a service are kept for more urgent work than that which asks for them.
 *
 * <p>Load pattern: less urgent work fills the targets a moment before the demand of the more urgent work jumps.
 */
final class UrgentRoom {
    /** Fraction of an engine's slots that is planned for urgent work, which is late at an engine that is nearly full. */
    private static final double PLANNED_SLOTS_FRACTION = 0.75;

    /** Maximum fraction of the engines that long prompts leave to more urgent work. */
    private static final double MAX_ENGINES_FRACTION = 0.5;

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

    /**
     * Returns the engines that a long prompt has to leave to more urgent work; none if the given choice leaves enough
     * others without prefill.
     */
    Set<TargetLoad> engines(
            Work work, EngineProfile profile, List<TargetLoad> candidates, Assignment choice, long now) {
        UrgencyRank rank = work.terms().rank();
        double places = rooms.of(work.service()).moreUrgentPlaces(rank, now);
        int needed = (int) Math.min(
                Math.ceil(places / (profile.slots() * PLANNED_SLOTS_FRACTION)),
                Math.floor(candidates.size() * MAX_ENGINES_FRACTION));
        if (needed == 0) {
            return ImmutableSet.of();
        }
        Set<TargetId> chosen = new HashSet<>();
        choice.needed().forEach(target -> chosen.add(target.id()));
        choice.helpers().forEach(helper -> chosen.add(helper.target().id()));
        int left = 0;
        for (TargetLoad load : candidates) {
            boolean free = !chosen.contains(load.target().id())
                    && Placement.isReady(load)
                    && freePlaces(load, Optional.of(profile)) > 0;
            left += free ? 1 : 0;
        }
        return left >= needed ? ImmutableSet.of() : mostUrgent(candidates, rank, needed);
    }

    /** Returns the engines that answer the most requests which are more urgent than the rank. */
    private static Set<TargetLoad> mostUrgent(List<TargetLoad> candidates, UrgencyRank rank, int count) {
        return candidates.stream()
                .sorted(Comparator.comparingInt((TargetLoad load) -> -moreUrgentCount(load, rank)))
                .limit(count)
                .collect(ImmutableSet.toImmutableSet());
    }

    private static int moreUrgentCount(TargetLoad load, UrgencyRank rank) {
        int count = 0;
        for (AttemptPart part : load.parts()) {
            count += !part.isHelper() && part.work().terms().rank().isMoreUrgentThan(rank) ? 1 : 0;
        }
        return count;
    }

    /** Returns the free slots of a target; none of an engine without memory for an ordinary answer. */
    private static int freePlaces(TargetLoad load, Optional<EngineProfile> profile) {
        boolean full = profile.map(engine -> !load.hasMemoryForAnswer(engine)).orElse(false);
        return full ? 0 : Math.max(0, load.target().slots() - load.ownedCount());
    }
}
