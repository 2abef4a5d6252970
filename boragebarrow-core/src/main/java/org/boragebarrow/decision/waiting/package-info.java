/**
 * How long work waits for the targets of its service, and whether that is worth it.
 *
 * <p>Load pattern: a crest of demand in all zones at once, or the loss of one of few targets, for longer than callers
 * wait. What waits behind more work than its service can begin within the caller's limit is refused at once, so that the
 * caller can return while it still has time.
 */
package org.boragebarrow.decision.waiting;
