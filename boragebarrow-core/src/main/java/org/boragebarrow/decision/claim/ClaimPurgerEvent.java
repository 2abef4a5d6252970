package org.boragebarrow.decision.claim;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.OrganisationId;

/** The events of a {@link ClaimPurger}. */
public sealed interface ClaimPurgerEvent {
    /** This host starts or stops being the one that purges claims. */
    record RoleChanged(boolean held) implements ClaimPurgerEvent {}

    /** The organisations whose claims are purged, replacing the previous set. */
    record OrganisationsListed(ImmutableSet<OrganisationId> organisations) implements ClaimPurgerEvent {}

    /** A table call completed; each call must complete exactly once. */
    record Answered(long callId, TableAnswer answer) implements ClaimPurgerEvent {}

    /** Time passed. */
    record Ticked() implements ClaimPurgerEvent {}
}
