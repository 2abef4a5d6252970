package org.boragebarrow.decision.assign;

import java.util.Optional;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.model.AvailabilityZoneId;
import org.boragebarrow.model.OrganisationId;
import org.boragebarrow.model.RegionId;
import org.boragebarrow.model.UrgencyRank;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Whose work it is, and what its route and its organisation are entitled to.
 *
 * @param organisation the organisation that is charged; empty for anonymous callers
 * @param weight the organisation's share of scarce capacity, relative to the weights of other organisations
 * @param homes the regions whose targets the work may reach; empty if it may reach all
 * @param purpose why a target is requested
 * @param callerKey identifies repeated requests of one caller for the same thing; 0 if unknown
 * @param closedZones zones whose targets the host sends nothing, as operators have emptied them as far as it knows
 * @param duplicable whether a second copy may be sent while the first is in progress
 */
public record WorkTerms(
        Optional<OrganisationId> organisation,
        double weight,
        UrgencyRank rank,
        Optional<ImmutableSet<RegionId>> homes,
        Purpose purpose,
        long callerKey,
        ImmutableSet<AvailabilityZoneId> closedZones,
        boolean duplicable) {
    /** The terms of work for which nothing is configured. */
    public static final WorkTerms DEFAULT =
            new WorkTerms(Optional.empty(), 1, UrgencyRank.DEFAULT, Optional.empty(), Purpose.FIRST, 0);

    /** Why a target is requested. */
    public enum Purpose {
        /** No target was requested for the request before. */
        FIRST,
        /** An earlier attempt failed, or its target is unresponsive. */
        REPEAT,
        /** An earlier attempt is in progress and slower than usual. */
        DUPLICATE
    }

    public WorkTerms {
        checkNotNull(organisation);
        checkNotNull(rank);
        checkNotNull(homes);
        checkNotNull(purpose);
        checkNotNull(closedZones);
    }

    /** Creates terms of work for which no zone is closed, and of which no second copy is sent. */
    public WorkTerms(
            Optional<OrganisationId> organisation,
            double weight,
            UrgencyRank rank,
            Optional<ImmutableSet<RegionId>> homes,
            Purpose purpose,
            long callerKey) {
        this(organisation, weight, rank, homes, purpose, callerKey, ImmutableSet.of(), false);
    }

    /** Returns the terms with a statement whether a second copy may be sent. */
    public WorkTerms withDuplicable(boolean value) {
        return new WorkTerms(organisation, weight, rank, homes, purpose, callerKey, closedZones, value);
    }

    /** Returns the terms with another key of the caller. */
    public WorkTerms withCallerKey(long key) {
        return new WorkTerms(organisation, weight, rank, homes, purpose, key, closedZones, duplicable);
    }

    /** Returns the terms with another purpose. */
    public WorkTerms withPurpose(Purpose other) {
        return new WorkTerms(organisation, weight, rank, homes, other, callerKey, closedZones, duplicable);
    }

    /** Returns the terms with other homes. */
    public WorkTerms withHomes(Optional<ImmutableSet<RegionId>> others) {
        return new WorkTerms(organisation, weight, rank, others, purpose, callerKey, closedZones, duplicable);
    }

    /** Returns the terms with other closed zones. */
    public WorkTerms withClosedZones(ImmutableSet<AvailabilityZoneId> zones) {
        return new WorkTerms(organisation, weight, rank, homes, purpose, callerKey, zones, duplicable);
    }
}
