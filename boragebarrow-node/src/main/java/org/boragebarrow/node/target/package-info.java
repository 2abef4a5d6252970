/** Holds the targets of all availability zones and monitors those of this host's zone. */
package org.boragebarrow.node.target;
