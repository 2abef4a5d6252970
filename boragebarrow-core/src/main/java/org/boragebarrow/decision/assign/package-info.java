/**
 * Assignment of requests to targets: one queue order and one cost model for all work of a region.
 *
 * <p>Load patterns: a burst of short prompts beside a few very long ones, whose prefill would delay the events of the
 * short ones at the same target; few answers that are spread thinly over a large fleet, so that a long prompt finds no
 * target to itself; a burst of long prompts with a huge one, whose parts would delay one another at shared
 * helpers; a shift of the mix in either direction within seconds; the loss of a part of the targets; targets that fail
 * some of their requests while they appear healthy.
 */
package org.boragebarrow.decision.assign;
