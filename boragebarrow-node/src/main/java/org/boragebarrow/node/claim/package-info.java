/** Claims idempotency keys, so that a call with a key is sent at most once, and runs the zone's claim writer. */
package org.boragebarrow.node.claim;
