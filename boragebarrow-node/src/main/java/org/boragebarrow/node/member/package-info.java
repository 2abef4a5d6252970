/** Runs membership and tells the other duties who is alive and who holds which role. */
package org.boragebarrow.node.member;
