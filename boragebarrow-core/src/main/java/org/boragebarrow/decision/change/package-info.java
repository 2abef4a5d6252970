/**
 * Maintains the change log of plans, allowances and target switches. Each change is accepted once, and every host
 * applies all changes in order.
 *
 * <p>{@link org.boragebarrow.decision.change.ChangeWriter} appends to the log in the table service;
 * {@link org.boragebarrow.decision.change.ChangeFollower} discovers, fetches and applies changes;
 * {@link org.boragebarrow.decision.change.SnapshotWriter} writes snapshots and trims the log.
 */
package org.boragebarrow.decision.change;
