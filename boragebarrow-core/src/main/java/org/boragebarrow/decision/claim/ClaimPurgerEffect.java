package org.boragebarrow.decision.claim;

import org.boragebarrow.decision.table.TableCall;

/** What a claim purger wants done. */
public sealed interface ClaimPurgerEffect {
    /** Makes a table call. */
    record Call(long call, TableCall table) implements ClaimPurgerEffect {}

    /** Deletes the body of a purged answer from the object store. */
    record DeleteObject(String objectKey) implements ClaimPurgerEffect {}
}
