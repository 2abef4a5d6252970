package org.boragebarrow.decision.claim;

import org.boragebarrow.decision.table.TableCall;

/** The effects of a {@link ClaimPurger}. */
public sealed interface ClaimPurgerEffect {
    /** Makes a table call. */
    record Call(long callId, TableCall table) implements ClaimPurgerEffect {}

    /** Deletes the body of a deleted claim's answer from the object store. */
    record DeleteObject(String objectKey) implements ClaimPurgerEffect {}
}
