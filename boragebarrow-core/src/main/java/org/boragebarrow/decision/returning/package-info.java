/**
 * When refused callers return.
 *
 * <p>Load pattern: many callers are refused within a moment, and would all return in the same moment, at which they would
 * be refused again; some of them return earlier than they were told.
 */
package org.boragebarrow.decision.returning;
