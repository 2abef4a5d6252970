/**
 * Keeps the change log of plans, allowances and target switches: accepts each change once, and puts all of them in force
 * in order on every host.
 *
 * <p>{@link org.boragebarrow.decision.change.ChangeWriter} appends to the log in the table service; {@link
 * org.boragebarrow.decision.change.ChangeFollower} learns of changes, fetches and applies them.
 */
package org.boragebarrow.decision.change;
