/** Runs the planner of the zone's engines: renews its lease, polls the engines and sends its orders to them. */
package org.boragebarrow.node.plan;
