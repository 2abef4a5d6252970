/**
 * Decides which model each engine of a zone holds and sends the orders that bring the engines there.
 *
 * <p>Orders are level-triggered: the planner compares what it wants with what the engines report and sends the difference
 * again until it is gone. That also corrects late orders of an earlier planner.
 */
package org.boragebarrow.decision.plan;
