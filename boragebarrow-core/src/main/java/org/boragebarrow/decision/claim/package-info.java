/**
 * Ensures that a keyed call that must not be repeated is dispatched at most once: an attempt dispatches its call only
 * after it has verified that it holds the claim of the key in the table.
 *
 * <p>{@link org.boragebarrow.decision.claim.ClaimManager} manages the claims of one host's attempts; {@link
 * org.boragebarrow.decision.claim.ClaimWriter} batches the writes of a zone's hosts into transactions; {@link
 * org.boragebarrow.decision.claim.ClaimPurger} deletes claims after the retention window.
 */
package org.boragebarrow.decision.claim;
