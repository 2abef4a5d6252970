/**
 * Lets a keyed call that may not be repeated be dispatched at most once: an attempt dispatches only after it has proven
 * that the key's claim in the table is its own.
 *
 * <p>{@link org.boragebarrow.decision.claim.ClaimKeeper} follows the attempts of one host; {@link
 * org.boragebarrow.decision.claim.ClaimWriter} groups the writes of a zone's hosts into transactions; {@link
 * org.boragebarrow.decision.claim.ClaimPurger} deletes claims after the retention window.
 */
package org.boragebarrow.decision.claim;
