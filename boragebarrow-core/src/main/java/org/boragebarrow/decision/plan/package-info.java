/**
 * Decides which model each engine of a zone has loaded and sends the engines orders to load and unload models.
 *
 * <p>Orders are level-triggered: the planner compares the desired state with the state that the engines report and
 * sends orders until they match. This also corrects late orders of an earlier planner.
 */
package org.boragebarrow.decision.plan;
