/** Runs the zone's dispatcher and asks it, or the one that another host runs, for grants. */
package org.boragebarrow.node.dispatch;
