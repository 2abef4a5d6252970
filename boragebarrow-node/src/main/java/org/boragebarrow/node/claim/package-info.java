/** Runs the claims of calls with an idempotency key, which must not be repeated, and the zone's claim writer. */
package org.boragebarrow.node.claim;
