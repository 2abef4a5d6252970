/** Runs the follower and the writer of the change log: applies changes at this host and appends those of operators. */
package org.boragebarrow.node.change;
