/** Runs the change log's follower and writer: what is in force at this host, and what operators append. */
package org.boragebarrow.node.change;
