/** Runs the region's assigner and finds the host on which it runs. */
package org.boragebarrow.node.assign;
