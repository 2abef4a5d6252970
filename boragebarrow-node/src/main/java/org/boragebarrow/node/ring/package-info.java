/** Bounded event queues between the duties of a host; each duty has one thread that consumes its queue. */
package org.boragebarrow.node.ring;
