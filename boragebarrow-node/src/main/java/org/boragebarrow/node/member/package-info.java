/** Runs membership and notifies the other duties of the live hosts and of the holder of each role. */
package org.boragebarrow.node.member;
