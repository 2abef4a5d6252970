/**
 * Maintains a lease in the table without comparing clocks of different hosts. The lease's epoch is the fencing number
 * of the holder's actions.
 */
package org.boragebarrow.decision.lease;
