/**
 * Which organisations have used more than their share of a service.
 *
 * <p>Load patterns: one organisation's demand jumps to a multiple of its mean; one session gets a large part of all
 * requests; some of the callers repeat refused requests at once and often. The organisation that causes the load pays for
 * it, not the others.
 */
package org.boragebarrow.decision.share;
