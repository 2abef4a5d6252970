/** Plans the zone's engines: keeps the lease, polls the engines and sends the planner's orders. */
package org.boragebarrow.node.plan;
