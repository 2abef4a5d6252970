/** The metrics of a host, in the Prometheus text format. */
package org.boragebarrow.node.metrics;
