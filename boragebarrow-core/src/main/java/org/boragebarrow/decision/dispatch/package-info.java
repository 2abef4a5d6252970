/**
 * Decides where and when each request runs: order, admission and placement for one availability zone.
 *
 * <p>A single-writer state machine without input, output, clock or threads. Two of them at once in a zone cost
 * efficiency only.
 */
package org.boragebarrow.decision.dispatch;
