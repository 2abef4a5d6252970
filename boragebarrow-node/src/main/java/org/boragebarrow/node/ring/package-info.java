/** Joins duties: each has one thread that consumes a bounded ring. */
package org.boragebarrow.node.ring;
