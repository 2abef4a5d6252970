/** Runs the claims of keyed calls that may not be repeated, and the zone's claim writer. */
package org.boragebarrow.node.claim;
