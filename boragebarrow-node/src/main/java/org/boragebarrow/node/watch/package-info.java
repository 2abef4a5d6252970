/** Follows tables of the platform's store: reads a table once in full, then polls for changes, also across failures. */
package org.boragebarrow.node.watch;
