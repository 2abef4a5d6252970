package org.boragebarrow.decision.claim;

import com.google.common.collect.ImmutableSet;
import org.boragebarrow.decision.table.TableAnswer;
import org.boragebarrow.model.OrganisationId;

/** What happens to a claim purger. */
public sealed interface ClaimPurgerEvent {
    /** This host is, or no longer is, the one that purges claims. */
    record RoleChanged(boolean held) implements ClaimPurgerEvent {}

    /** The organisations whose claims are purged, replacing the earlier set. */
    record OrganisationsListed(ImmutableSet<OrganisationId> organisations) implements ClaimPurgerEvent {}

    /** A table call ended; each call must end once. */
    record Answered(long call, TableAnswer answer) implements ClaimPurgerEvent {}

    /** Time passed. */
    record Ticked() implements ClaimPurgerEvent {}
}
