/**
 * Which target works on which request, and when: one order of waiting and one cost model for all work of a region.
 *
 * <p>Load patterns: a burst of short prompts beside a few very long ones, whose reading would hold up the events of the
 * short ones at the same target; a clump of long prompts with a huge one, whose parts would hold up one another at shared
 * helpers; the reverse swing within seconds; the loss of a part of the targets; targets that fail
 * some of their requests while they look healthy.
 */
package org.boragebarrow.decision.assign;
