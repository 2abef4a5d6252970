/**
 * Keeps a lease in the table without comparing clocks of different hosts; its epoch is the fencing number of what the
 * holder does.
 */
package org.boragebarrow.decision.lease;
