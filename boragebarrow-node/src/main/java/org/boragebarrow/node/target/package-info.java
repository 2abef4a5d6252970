/** Knows the targets of all availability zones and watches those of this one. */
package org.boragebarrow.node.target;
