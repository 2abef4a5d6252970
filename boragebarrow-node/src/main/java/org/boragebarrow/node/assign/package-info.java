/** Runs this host's assigner and sends requests for assignments to the host that assigns for the region. */
package org.boragebarrow.node.assign;
